import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { LoadForwarding } from "../policies/jobForwarding.js";

let policy = new LoadForwarding();

function recordLoads(load: number, windows: number): void {
    for (let window = 0; window < windows; window += 1) {
        policy.recordLoad(load);
    }
}

Given("an entry whose load was {float} for {int} windows", (load: number, windows: number) => {
    policy = new LoadForwarding();
    recordLoads(load, windows);
});

When("its load is {float} for {int} windows", recordLoads);

Then("no part of its new jobs is passed on", () => assert.equal(policy.share, 0));

Then("all of its new jobs are passed on", () => assert.equal(policy.share, 1));

Then("a part of its new jobs is passed on", () => assert.ok(policy.share > 0 && policy.share < 1, `${policy.share}`));

Then("it takes jobs of others", () => assert.ok(policy.acceptsJobs));

Then("it takes no jobs of others", () => assert.ok(!policy.acceptsJobs));

Then(/^it passes jobs on to an entry with a load of ([\d.]+): (yes|no)$/, (load: string, passes: string) => {
    assert.equal(policy.weigh(Number(load)) > 0, passes === "yes");
});

Then("an entry with a load of {float} gets more of its jobs than one with a load of {float}", (
    first: number,
    second: number,
) => {
    assert.ok(policy.weigh(first) > policy.weigh(second));
});
