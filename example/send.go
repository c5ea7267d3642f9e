package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"swiftreel/internal/fake"
)

// answerSlack is how long send waits for an answer beyond the job timeout.
const answerSlack = time.Second

// send sends one job and prints its answer.
func send(arguments []string) error {
	flags := flag.NewFlagSet("send", flag.ExitOnError)
	jobType := flags.String("type", "lookup", "the reservation type")
	timeoutMS := flags.Int("ttl", 2500, "job timeout in milliseconds")
	workMS := flags.Int("work", 100, "estimate of the work in milliseconds")
	key := flags.String("key", "", "key of an import")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	fields := []string{
		"call", fmt.Sprintf("%016x", rand.Uint64()),
		"ttl", strconv.Itoa(*timeoutMS),
		"org", "acme",
		"work", strconv.Itoa(*workMS),
		"est_mb", "64",
	}
	if *key != "" {
		fields = append(fields, "row", *key)
	}
	statement := strings.Join(flags.Args(), " ")
	return sendAndPrint(*jobType, statement, fields, time.Duration(*timeoutMS)*time.Millisecond)
}

func sendAndPrint(jobType, statement string, fields []string, timeout time.Duration) error {
	client, err := fake.Dial(controllerAddress)
	if err != nil {
		return err
	}
	defer client.Conn.Close()
	if _, err := client.Send(jobType, statement, fields...); err != nil {
		return err
	}
	startedAt := time.Now()
	answer, err := client.Read(timeout + answerSlack)
	if err != nil {
		return err
	}
	duration := time.Since(startedAt).Round(time.Millisecond)
	if answer.Error != "" {
		log.Printf("%s after %v: %v", answer.Error, duration, answer.Fields)
	} else {
		log.Printf("done after %v:\n%s", duration, answer.Body)
	}
	return nil
}
