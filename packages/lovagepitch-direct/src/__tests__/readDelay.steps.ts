import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ReadDelay } from "../policies/readDelay.js";

let delay = new ReadDelay();
let now = 0;
let intervalMilliseconds = 0;

Given("a process whose ticks are due every {int} ms", (milliseconds: number) => {
    delay = new ReadDelay();
    now = 1000;
    intervalMilliseconds = milliseconds;
    delay.recordTick(now, undefined);
});

When("{int} ticks come {int} ms late", (ticks: number, lateMilliseconds: number) => {
    for (let index = 0; index < ticks; index += 1) {
        const dueAt = now + intervalMilliseconds;
        now = dueAt + lateMilliseconds;
        delay.recordTick(now, dueAt);
    }
});

Then("a request that is read now may have arrived {int} ms ago", (milliseconds: number) => {
    assert.equal(now - delay.findEarliestArrival(now), milliseconds);
});
