import { Given, Then, When } from "@cucumber/cucumber";
import type { Manifest } from "@lovagepitch/types/manifest";
import assert from "node:assert/strict";
import { describeManifestChange, diffManifests } from "../diffManifests.js";
import { digestManifest } from "../digestManifest.js";
import { loadManifest } from "../loadManifest.js";
import { manifestText } from "./configurationSamples.js";

let before: Manifest;
let after: Manifest;

function changeCopy(path: string, value: unknown): Manifest {
    const copy = structuredClone(before);
    const steps = path.split(".");
    const last = steps.pop() ?? "";
    let target: unknown = copy;
    for (const step of steps) {
        target = (target as Readonly<Record<string, unknown>>)[step];
    }
    (target as Record<string, unknown>)[last] = value;
    return copy;
}

Given("the base manifest of the comparison", () => {
    before = loadManifest(manifestText, "sample.jsonc").unwrap();
    after = before;
});

When(/^its value at "(.*)" is set to (.*)$/, (path: string, value: string) => {
    after = changeCopy(path, JSON.parse(value));
});

When("its lists are reversed", () => {
    after = {
        availabilityZones: [...before.availabilityZones].reverse(),
        teams: [...before.teams].reverse(),
        services: before.services.map(service => ({ ...service, kinds: [...service.kinds].reverse() })).reverse(),
    };
});

Then(/^the only manifest change reads "(.*)"$/, (line: string) => {
    assert.deepEqual(diffManifests(before, after).map(describeManifestChange), [line]);
});

Then("there are no manifest changes", () => {
    assert.deepEqual(diffManifests(before, after), []);
});

Then(
    "compared with none it adds {int} zones, {int} teams, {int} service and {int} kinds",
    (zones: number, teams: number, services: number, kinds: number) => {
        const changes = diffManifests(undefined, before);
        const count = (subject: string) => changes.filter(change => change.subject === subject).length;
        assert.ok(changes.every(change => change.change === "added"));
        assert.deepEqual(
            [count("availability zone"), count("team"), count("service"), count("kind")],
            [zones, teams, services, kinds],
        );
    },
);

Then("its digest is the same with its keys in another order", () => {
    const reordered = Object.fromEntries(Object.entries(before).reverse()) as unknown as Manifest;
    assert.equal(digestManifest(reordered), digestManifest(before));
});

Then("its digest differs when one quota is changed", () => {
    assert.notEqual(digestManifest(changeCopy("teams.0.quota.guaranteedSlots", 9)), digestManifest(before));
});
