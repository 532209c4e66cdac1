import { Before, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import assert from "node:assert/strict";
import { StopDelays } from "../process/stopDelays.js";

let clock = new ManualClock(1_000_000);
let delays: number[] = [];
let late: string[] = [];
let stopDelays = createStopDelays();

function createStopDelays(): StopDelays {
    return new StopDelays(
        clock,
        milliseconds => delays.push(milliseconds),
        (milliseconds, callers) => late.push(`${milliseconds}/${callers}`),
    );
}

Before(() => {
    clock = new ManualClock(1_000_000);
    delays = [];
    late = [];
    stopDelays = createStopDelays();
});

When(
    "{int} callers go and the next tick ends {int} ms after the previous one",
    (callers: number, milliseconds: number) => {
        clock.advanceTo(clock.nowMilliseconds() + milliseconds);
        for (let caller = 0; caller < callers; caller += 1) {
            stopDelays.recordGoneCaller();
        }
        stopDelays.recordTick();
    },
);

Then("the measured delays are {string}", (expected: string) => {
    assert.equal(delays.join(), expected);
});

Then("the late ones are {string}", (expected: string) => {
    assert.equal(late.join(), expected);
});
