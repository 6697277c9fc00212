package rank_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRank(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rank")
}
