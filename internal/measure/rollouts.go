package main

func rollouts(seed uint64) []*table { return nil }
