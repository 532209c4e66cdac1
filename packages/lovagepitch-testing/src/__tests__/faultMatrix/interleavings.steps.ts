import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { type InterleavingEvent, interleavings, runInterleaving } from "./interleaving.js";

let counterexample = "";

When(
    "{int} random interleavings run with seed {int}",
    { timeout: 300_000 },
    (numRuns: number, seed: number) => {
        counterexample = "";
        const property = fc.property(interleavings, events => runInterleaving(seed, events).judge().length === 0);
        const details = fc.check(property, { seed, numRuns });
        const [events] = details.counterexample ?? [];
        if (events !== undefined) {
            const problems = runInterleaving(seed, events).judge().slice(0, 4).join("\n  ");
            counterexample = `INTERLEAVING='${JSON.stringify({ seed, events })}'\n  ${problems}`;
        }
    },
);

When("the interleaving given by the environment runs", () => {
    const given = process.env["INTERLEAVING"];
    if (given !== undefined) {
        const { seed, events } = JSON.parse(given) as { seed: number; events: InterleavingEvent[] };
        const run = runInterleaving(seed, events);
        console.error(run.traceText);
        counterexample = run.judge().join("\n");
    }
});

Then("no interleaving breaks a rule", () => {
    assert.equal(counterexample, "");
});
