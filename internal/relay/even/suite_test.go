package even_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEven(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "even")
}
