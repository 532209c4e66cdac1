import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ConnectionWorld } from "./connectionWorld.js";

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

Then("each caller has the true answer to its own request, and nothing ran twice or on", () => world.check());

Then("at least {int} jobs of these callers were done", (minimum: number) => {
    const done = world.deployment.record.countAnswers("done");
    assert.ok(done >= minimum, `${done} were done`);
});
