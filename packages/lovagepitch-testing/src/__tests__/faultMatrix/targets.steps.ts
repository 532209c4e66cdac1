import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { targetMeasurements } from "./targets.js";

let name = "";
let times: number[] = [];

When("the time of {string} is measured with {int} seeds", (target: string, seeds: number) => {
    const measure = targetMeasurements[target];
    assert.ok(measure, `no target is named "${target}"`);
    name = target;
    times = Array.from({ length: seeds }, (_unused, position) => measure(position + 1));
});

Then("the measured time is at most {int} ms", (limit: number) => {
    const longest = Math.max(...times);
    console.log(`time: ${name}: ${longest.toFixed(0)} ms, allowed ${limit} ms`);
    assert.ok(longest <= limit, `${name} took ${times.map(time => time.toFixed(0)).join(", ")} ms`);
});
