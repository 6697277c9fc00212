package steer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSteer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steer")
}
