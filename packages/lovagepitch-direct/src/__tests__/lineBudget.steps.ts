import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { LineBudget } from "../process/lineBudget.js";

const startedAt = 1000;

let budget = new LineBudget();
let written = new Map<string, number>();

function write(lines: number, event: string): void {
    for (let line = 0; line < lines; line += 1) {
        if (budget.take("info", event)) {
            written.set(event, (written.get(event) ?? 0) + 1);
        }
    }
}

Given("a log with limits", () => {
    budget = new LineBudget();
    budget.beginWindow(startedAt);
    written = new Map();
});

When(
    "{int} lines {string} and then {int} lines {string} are written within a second",
    (first: number, firstEvent: string, second: number, secondEvent: string) => {
        write(first, firstEvent);
        write(second, secondEvent);
        assert.equal(budget.beginWindow(startedAt + 999), undefined);
    },
);

Then("{int} lines {string} were written", (lines: number, event: string) => assert.equal(written.get(event), lines));

Then("at most {int} lines were written", (limit: number) => {
    assert.ok([...written.values()].reduce((sum, lines) => sum + lines, 0) <= limit);
});

Then("the next window begins with {int} omitted lines {string}", (lines: number, event: string) => {
    assert.deepEqual(budget.beginWindow(startedAt + 1000), { [event]: lines });
});
