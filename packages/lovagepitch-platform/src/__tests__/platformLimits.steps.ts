import { Given, Then, When } from "@cucumber/cucumber";
import { Clock } from "@lovagepitch/utils/clock";
import assert from "node:assert/strict";
import { RetryBudget } from "../retryBudget.js";
import { TokenBucket } from "../tokenBucket.js";

/** A wall clock that can be set back. */
class WallClock extends Clock {
    public milliseconds = 1_700_000_000_000;

    public override now(): Date {
        return new Date(this.milliseconds);
    }
}

let clock: WallClock;
let bucket: TokenBucket;
let budget: RetryBudget;

function countRetries(): number {
    let retries = 0;
    while (budget.takeRetry()) {
        retries += 1;
    }
    return retries;
}

Given("a token bucket of {int} tokens a second that holds {int}", (rate: number, capacity: number) => {
    clock = new WallClock();
    bucket = new TokenBucket(rate, capacity, clock);
});

When("{int} ms pass for the token bucket", (milliseconds: number) => {
    clock.milliseconds += milliseconds;
});

When("the token bucket's clock is set back by {int} ms", (milliseconds: number) => {
    clock.milliseconds -= milliseconds;
});

Then(/^tokens are granted after ([\d, ]+) ms$/, (waits: string) => {
    const expected = waits.split(", ").map(Number);
    assert.deepEqual(expected.map(() => bucket.reserve(60_000)), expected);
});

Then("a token within {int} ms is refused", (maximumWait: number) => {
    assert.equal(bucket.reserve(maximumWait), undefined);
});

Given("a retry budget of {float} a request whose first retries are used up", (share: number) => {
    budget = new RetryBudget(share);
    countRetries();
});

When("{int} requests are counted in the retry budget", (requests: number) => {
    for (let index = 0; index < requests; index += 1) {
        budget.recordRequest();
    }
});

Then("the retry budget allows between {int} and {int} retries", (least: number, most: number) => {
    const retries = countRetries();
    assert.ok(retries >= least && retries <= most, `${retries} retries`);
});
