package chair_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChair(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chair")
}
