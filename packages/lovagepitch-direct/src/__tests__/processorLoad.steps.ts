import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ProcessorTime } from "../model/processorTime.js";
import { ProcessorLoad } from "../policies/processorLoad.js";

class SetProcessorTime extends ProcessorTime {
    public busyMilliseconds = 0;

    public override readBusyMilliseconds(): number {
        return this.busyMilliseconds;
    }
}

let processorTime = new SetProcessorTime();
let load = new ProcessorLoad(processorTime);

Given("a process whose load is taken at {int} ms", (at: number) => {
    processorTime = new SetProcessorTime();
    load = new ProcessorLoad(processorTime);
    load.update(at);
});

When("it has had work for {int} ms until {int} ms", (busy: number, at: number) => {
    processorTime.busyMilliseconds = busy;
    load.update(at);
});

Then("its load is {float}", (expected: number) => {
    assert.equal(load.share, expected);
});
