import { After, Given, Then, When } from "@cucumber/cucumber";
import { loadEntrySettings } from "@lovagepitch/configuration/loadEntrySettings";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryProcess } from "../process/entryProcess.js";
import { MemoryEventLog } from "./httpScene.js";

const patient = { timeout: 60_000 };
const pollMilliseconds = 2;

let entry: EntryProcess | undefined;
let entryAddress = "";

After({ tags: "@entryProcess", timeout: 60_000 }, async () => {
    await entry?.stop();
    entry = undefined;
});

When("the entry process stops", patient, async () => {
    await entry?.stop();
});

Given("an entry process whose platform refuses connections", async () => {
    // A port that was just free refuses connections.
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    const settings = loadEntrySettings(
        JSON.stringify({
            address: "127.0.0.1",
            port: 0,
            callerPort: 0,
            availabilityZone: "ikeja",
            submissionKey: "a key of at least thirty-two characters",
            platform: { url: `http://127.0.0.1:${port}` },
        }),
        "entry.jsonc",
    ).unwrap();
    entry = new EntryProcess(settings, new MemoryEventLog());
    const { callerPort } = await entry.start();
    entryAddress = `http://127.0.0.1:${callerPort}`;
});

Then("its {string} answers {int}", async (target: string, status: number) => {
    const answer = await fetch(entryAddress + target);
    await answer.text();
    assert.equal(answer.status, status);
});

Then("its {string} says that the store is not healthy", patient, async (target: string) => {
    const read = async (): Promise<unknown> => {
        const answer = await fetch(entryAddress + target);
        return (await answer.json() as { readonly storeHealthy: boolean }).storeHealthy;
    };
    while (await read() !== false) {
        await sleep(pollMilliseconds);
    }
});

Then("its {string} issues an id", async (target: string) => {
    const answer = await fetch(entryAddress + target, { method: "POST" });
    assert.equal(answer.status, 201);
    assert.equal((await answer.json() as { readonly submissions: readonly string[] }).submissions.length, 1);
});

Then("its port refuses connections", async () => {
    await assert.rejects(fetch(`${entryAddress}/healthz`));
});
