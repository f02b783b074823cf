package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/settings"
	"wigeonbay/internal/ticketfile"
)

const root = "../../.."

// loader returns what reads the file called name.
func loader(name string) func(path string) error {
	switch {
	case strings.HasPrefix(name, "entry-"):
		return func(path string) error { _, err := settings.LoadEntry(path); return err }
	case strings.HasPrefix(name, "control-"):
		return func(path string) error { _, err := settings.LoadControl(path); return err }
	case strings.HasPrefix(name, "searchers-"):
		return func(path string) error { _, err := settings.LoadSearcher(path); return err }
	case strings.HasPrefix(name, "ticket-"):
		return func(path string) error { _, err := ticketfile.Load(path); return err }
	default:
		return func(path string) error { _, err := settings.LoadCtl(path); return err }
	}
}

func TestExamplesAreCurrentAndLoad(t *testing.T) {
	for _, user := range users() {
		folder := filepath.Join(root, "examples", user.name)
		for name, want := range user.files() {
			t.Run(user.name+"/"+name, func(t *testing.T) {
				path := filepath.Join(folder, name)
				got, err := os.ReadFile(path)
				assert.NilError(t, err)
				assert.Equal(t, string(got), want, "run go run ./internal/tools/examples")
				assert.NilError(t, loader(name)(path))
			})
		}
		listed, err := os.ReadDir(folder)
		assert.NilError(t, err)
		assert.Equal(t, len(listed), len(user.files()), "no other file")
	}
}

func TestSizesAreThoseOfTheBrief(t *testing.T) {
	for _, user := range users() {
		assert.Equal(t, len(user.dataCentres), 3)
		assert.Check(t, user.entries >= 6 && user.entries <= 9)
		assert.Equal(t, len(user.searchers()), (10+15)*3+10+5)
	}
}

// TestEveryShardHasTwoReplicas checks how shards are dealt out.
func TestEveryShardHasTwoReplicas(t *testing.T) {
	for _, user := range users() {
		for _, g := range user.groups {
			held := make([]int, g.shards)
			for i := range g.searchers {
				shards, err := settings.ParseShards(g.shardsOf(i), g.shards)
				assert.NilError(t, err)
				for _, shard := range shards {
					held[shard]++
				}
			}
			for shard, replicas := range held {
				assert.Equal(t, replicas, 2, "%s shard %d", g.name, shard)
			}
		}
	}
}
