package adopt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdopt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "adopt")
}
