import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { checkRun } from "../checker/checker.js";
import type { RunRecord } from "../checker/runRecord.js";
import { documentedLimits } from "../checker/violation.js";
import { createCheckerRecord } from "./checkerRecords.js";

let record: RunRecord;

Given("the checker's record {string}", (name: string) => {
    record = createCheckerRecord(name);
});

Then("the checker reports nothing", () => {
    assert.deepEqual(checkRun(record, documentedLimits), []);
});

Then(/^the checker reports "([^"]*)" with "(.*)"$/, (rule: string, words: string) => {
    const violations = checkRun(record, documentedLimits);
    const rules = [...new Set(violations.map(violation => violation.rule))];
    assert.deepEqual(rules, [rule]);
    assert.ok(violations.some(violation => violation.message.includes(words)), JSON.stringify(violations));
});
