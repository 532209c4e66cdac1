import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ConnectionWorld } from "./connectionWorld.js";

/** Part of the new jobs that entries pass on, where they pass on most. */
const mostJobs = 0.8;

let world = new ConnectionWorld(1);

When("{int} connections, processes and workers fail at random while callers send jobs again, seed {int}", (
    count: number,
    seed: number,
) => {
    world = new ConnectionWorld(seed + Number(process.env["SEED_OFFSET"] ?? 0));
    world.runFaults(count);
});

When(
    "{int} connections, processes and workers fail at random, connections of callers also for them alone, seed {int}",
    (count: number, seed: number) => {
        world = new ConnectionWorld(seed + Number(process.env["SEED_OFFSET"] ?? 0), true);
        world.runFaults(count);
    },
);

When(
    "{int} connections, processes and workers fail at random while entries pass most of the jobs on, seed {int}",
    (count: number, seed: number) => {
        world = new ConnectionWorld(seed + Number(process.env["SEED_OFFSET"] ?? 0), false, mostJobs);
        world.runFaults(count);
    },
);

When(
    "{int} connections fail at random, of callers also for them alone, while entries pass most of the jobs on, seed {int}",
    (count: number, seed: number) => {
        world = new ConnectionWorld(seed + Number(process.env["SEED_OFFSET"] ?? 0), true, mostJobs);
        world.runFaults(count);
    },
);

Then("at least {int} jobs were passed on", (minimum: number) => {
    const { forwardedCount } = world.deployment.entryNetwork;
    assert.ok(forwardedCount >= minimum, `${forwardedCount} were passed on`);
});

Then("each caller has the true answer to its own request, and nothing ran twice or on", () => world.check());

Then("at least {int} jobs of these callers were done", (minimum: number) => {
    const done = world.deployment.record.countAnswers("done");
    assert.ok(done >= minimum, `${done} were done`);
});
