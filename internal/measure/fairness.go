package main

func fairness(seed uint64) []*table { return nil }
