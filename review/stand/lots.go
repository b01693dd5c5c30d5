//go:build review

package main

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

// lotDoc makes a lot of so many groups of items, each with a body of so many bytes.
func lotDoc(id string, groups, size, bodyBytes, tokens, minVersion, headers int) ([]byte, []string) {
	var ids []string
	requests := []any{}
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("%s%04x%02x", id[:10], g, i)
			ids = append(ids, item)
			body := make([]byte, bodyBytes)
			_, _ = rand.Read(body)
			head := map[string]string{"Model": modelName, "Token-Counts": fmt.Sprintf("1016,%d", tokens), "Prompt-Prefix": fmt.Sprintf("5a:1000,%s:16", item[len(item)-6:])}
			for h := range headers {
				head[fmt.Sprintf("X-Tag-%d", h)] = "1"
			}
			requests = append(requests, map[string]any{"InstanceId": item, "Path": lotPath + "0/" + item, "GroupId": fmt.Sprintf("g%s%d", id[:6], g),
				"Headers": head, "Body": base64.StdEncoding.EncodeToString(body), "Tokens": 1016 + tokens})
		}
	}
	doc, _ := json.Marshal(map[string]any{"TrainStep": 0, "Model": modelName, "MinVersion": minVersion, "Desired": groups, "Requests": requests})
	return doc, ids
}

// putLot hands a lot in at one node.
func putLot(m *machine, id string, doc []byte, most time.Duration) (int, string, error) {
	code, _, text, err := call("POST", m.front(), lotPath+id, hostName, map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}, string(doc), most)
	return code, text, err
}

// lotPage is a page of a lot's results.
type lotPage struct {
	Total, NextToken int
	Outputs          []struct {
		InstanceId, State, Message string
		WeightVersions             []int
	}
}

// readLot reads a lot from a position.
func readLot(m *machine, id string, from int, most time.Duration) (int, lotPage, error) {
	code, _, text, err := call("GET", m.front(), fmt.Sprintf("/lots/%s?SinceToken=%d", id, from), hostName, map[string]string{"Wait-Ms": "300"}, "", most)
	var page lotPage
	if code == 200 {
		err = json.Unmarshal([]byte(text), &page)
	}
	return code, page, err
}
