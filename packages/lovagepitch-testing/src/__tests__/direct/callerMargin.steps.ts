import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { findLongestTrial, type LongestTrial, type StopBehavior } from "./marginSearch.js";

let longest: LongestTrial | undefined;

When(
    /^the connection of a long job's caller breaks, entry 0 notices it (\d+) ms later and sends nothing more, and workers (execute|refuse) stops$/,
    (milliseconds: string, stops: StopBehavior) => {
        longest = findLongestTrial(Number(milliseconds), stops);
    },
);

Then(
    "no long task runs {int} ms after the break, but one runs {int} ms after it",
    (bound: number, reached: number) => {
        assert.ok(longest);
        const message = JSON.stringify(longest);
        assert.ok(longest.ranMilliseconds <= bound, `a task runs for too long: ${message}`);
        assert.ok(longest.ranMilliseconds > reached, `the search does not find the worst instant: ${message}`);
    },
);
