package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"strings"
	"time"

	"swiftreel/internal/fake"
)

// controllerAddress is where example/config.json has the controller listen.
const controllerAddress = "127.0.0.1:9090"

// answerGrace is how long past a job's timeout its answer is waited for.
const answerGrace = time.Second

// send sends one job and prints its answer.
func send(args []string) error {
	flags := flag.NewFlagSet("send", flag.ExitOnError)
	method := flags.String("type", "lookup", "the reservation type")
	timeoutMS := flags.Int("ttl", 2500, "job timeout in milliseconds")
	workMS := flags.Int("work", 100, "estimate of the work in milliseconds")
	key := flags.String("key", "", "key of an import")
	if err := flags.Parse(args); err != nil {
		return err
	}
	fields := []string{"call", fmt.Sprintf("%016x", rand.Uint64()), "ttl", fmt.Sprint(*timeoutMS), "org", "acme",
		"work", fmt.Sprint(*workMS), "est_mb", "64"}
	if *key != "" {
		fields = append(fields, "row", *key)
	}
	client, err := fake.Dial(controllerAddress)
	if err != nil {
		return err
	}
	defer client.Conn.Close()
	start := time.Now()
	if _, err := client.Send(*method, strings.Join(flags.Args(), " "), fields...); err != nil {
		return err
	}
	answer, err := client.Read(time.Duration(*timeoutMS)*time.Millisecond + answerGrace)
	if err != nil {
		return err
	}
	took := time.Since(start).Round(time.Millisecond)
	if answer.Error != "" {
		log.Printf("%s after %v: %v", answer.Error, took, answer.Fields)
		return nil
	}
	log.Printf("done after %v:\n%s", took, answer.Body)
	return nil
}
