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

// loadFunc returns the function that parses the named example file.
func loadFunc(name string) func(path string) error {
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
	for _, d := range deployments() {
		dir := filepath.Join(root, "examples", d.name)
		for name, want := range d.files() {
			t.Run(d.name+"/"+name, func(t *testing.T) {
				path := filepath.Join(dir, name)
				got, err := os.ReadFile(path)
				assert.NilError(t, err)
				assert.Equal(t, string(got), want, "out of date: run go run ./internal/tools/examples")
				assert.NilError(t, loadFunc(name)(path))
			})
		}
		listed, err := os.ReadDir(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(listed), len(d.files()), "unexpected number of files")
	}
}

func TestDeploymentSizes(t *testing.T) {
	for _, d := range deployments() {
		assert.Equal(t, len(d.dataCentres), 3)
		assert.Check(t, d.entryNodes >= 6 && d.entryNodes <= 9)
		assert.Equal(t, len(d.searchers()), (10+15)*3+10+5)
	}
}

// TestEveryShardHasTwoReplicas checks the assignment of shards to searchers.
func TestEveryShardHasTwoReplicas(t *testing.T) {
	for _, d := range deployments() {
		for _, g := range d.serviceGroups {
			replicaCounts := make([]int, g.shards)
			for i := range g.searchers {
				shards, err := settings.ParseShards(g.shardsOf(i), g.shards)
				assert.NilError(t, err)
				for _, shard := range shards {
					replicaCounts[shard]++
				}
			}
			for shard, replicas := range replicaCounts {
				assert.Equal(t, replicas, 2, "%s shard %d", g.name, shard)
			}
		}
	}
}
