import { Given, Then, When } from "@cucumber/cucumber";
import type { Manifest } from "@lovagepitch/types/manifest";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { ConfigurationError } from "../configurationError.js";
import { createJsonSchemas } from "../createJsonSchemas.js";
import { findKind } from "../findKind.js";
import { loadAgentSettings } from "../loadAgentSettings.js";
import { loadEntrySettings } from "../loadEntrySettings.js";
import { loadJob } from "../loadJob.js";
import { loadManifest } from "../loadManifest.js";
import { loadOperatorSettings } from "../loadOperatorSettings.js";
import { manifestText, minimalSettings } from "./configurationSamples.js";

const loaders = { entry: loadEntrySettings, agent: loadAgentSettings, operator: loadOperatorSettings } as const;
type Role = keyof typeof loaders;

let deployment = "";
let text = "";
let manifest: Result<Manifest, ConfigurationError>;
let settings: Result<unknown, ConfigurationError>;

function readExample(file: string): string {
    return readFileSync(join("examples", deployment, file), "utf8");
}

function getRefusal(result: Result<unknown, ConfigurationError>): ConfigurationError {
    assert.ok(result.err, "the document was accepted");
    return result.val;
}

When("the configuration example {string} is loaded", (name: string) => {
    deployment = name;
    manifest = loadManifest(readExample("manifest.jsonc"), "manifest.jsonc");
});

Then("its manifest declares {int} availability zones", (count: number) => {
    assert.equal(manifest.unwrap().availabilityZones.length, count);
});

Then("its settings name declared availability zones only", () => {
    const zones = manifest.unwrap().availabilityZones;
    const entry = loadEntrySettings(readExample("entry.jsonc"), "entry.jsonc").unwrap();
    const agent = loadAgentSettings(readExample("agent.jsonc"), "agent.jsonc").unwrap();
    loadOperatorSettings(readExample("operator.jsonc"), "operator.jsonc").unwrap();
    assert.ok(zones.includes(entry.availabilityZone));
    assert.ok(zones.includes(agent.availabilityZone));
    assert.equal(entry.submissionKey, agent.submissionKey);
});

Then("its job names a declared team and kind", () => {
    const job = loadJob(readExample("job.jsonc"), "job.jsonc").unwrap();
    const kind = findKind(manifest.unwrap(), job.service, job.kind);
    assert.ok(kind);
    assert.ok(kind.teams?.includes(job.team) ?? true);
    assert.ok(manifest.unwrap().teams.some(team => team.name === job.team));
    assert.equal(findKind(manifest.unwrap(), job.service, "no-such-kind"), undefined);
    assert.equal(findKind(manifest.unwrap(), "no-such-service", job.kind), undefined);
});

Given("the manifest of the configuration tests", () => {
    text = manifestText;
    assert.ok(loadManifest(text, "sample.jsonc").ok);
});

When(/^"(.*)" in its text is replaced by "(.*)"$/, (before: string, after: string) => {
    assert.ok(text.includes(before));
    manifest = loadManifest(text.replace(before, after), "sample.jsonc");
});

When(/^a manifest text of (\d+) times "(.*)" is parsed$/, (count: number, part: string) => {
    manifest = loadManifest(part.repeat(count), "sample.jsonc");
});

Then(
    "the manifest is refused as {string} at line {int} and path {string}",
    (kind: string, line: number, path: string) => {
        const error = getRefusal(manifest);
        assert.equal(error.kind, kind);
        const issue = error.issues.find(candidate => candidate.path === path);
        assert.ok(issue, error.message);
        assert.equal(issue.position?.line, line, error.message);
    },
);

Then(/^the refusal names its file and the remedy "(.*)"$/, (remedy: string) => {
    const error = getRefusal(manifest);
    assert.ok(error.message.startsWith("sample.jsonc:"), error.message);
    assert.ok(error.message.includes(remedy), error.message);
});

Then("the manifest is refused as {string} at path {string}", (kind: string, path: string) => {
    const error = getRefusal(manifest);
    assert.equal(error.kind, kind);
    assert.equal(error.issues[0]?.path, path);
});

When("the minimal {string} settings are loaded", (role: Role) => {
    settings = loaders[role](JSON.stringify(minimalSettings[role]), "settings.jsonc");
});

Then(/^the setting "(.*)" of the configuration tests is (.*)$/, (name: string, value: string) => {
    let found = settings.unwrap();
    for (const step of name.split(".")) {
        found = (found as Readonly<Record<string, unknown>>)[step];
    }
    assert.deepEqual(found, JSON.parse(value));
});

When(
    /^the minimal "(.*)" settings are loaded with "(.*)" set to (.*)$/,
    (role: Role, name: string, value: string) => {
        const changed = { ...minimalSettings[role], [name]: JSON.parse(value) as unknown };
        settings = loaders[role](JSON.stringify(changed), "settings.jsonc");
    },
);

Then("the settings are refused at path {string}", (path: string) => {
    const error = getRefusal(settings);
    assert.deepEqual(error.issues.map(issue => issue.path), [path], error.message);
    assert.ok(error.message.startsWith("settings.jsonc:1:"), error.message);
});

Then("each file in the directory {string} equals the generated schema", (directory: string) => {
    const expected = createJsonSchemas();
    assert.deepEqual(readdirSync(directory).sort(), expected.map(file => file.fileName));
    for (const file of expected) {
        const committed = readFileSync(join(directory, file.fileName), "utf8");
        const remedy = `${file.fileName} is stale; run node packages/lovagepitch-configuration/dist/runWriteSchemas.js`;
        assert.equal(committed, file.text, remedy);
    }
});
