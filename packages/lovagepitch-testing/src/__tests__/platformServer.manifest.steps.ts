import { Before, Given, Then, When } from "@cucumber/cucumber";
import type { ManifestApplyError } from "@lovagepitch/platform/manifestApplyError";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { ConditionalWrite } from "@lovagepitch/platform/tableService";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { MemoryTable } from "../standIns/memoryPlatform.js";
import { createManifestChange } from "./platformServer.operations.js";
import { VirtualDelay } from "./platformServer.virtualDelay.js";

/** Calls a function once after the next write. */
class ObservedTable extends MemoryTable {
    public afterWrite: () => Promise<void> = () => Promise.resolve();

    public override async write(writes: readonly ConditionalWrite[]): ReturnType<MemoryTable["write"]> {
        const result = await super.write(writes);
        const { afterWrite } = this;
        this.afterWrite = () => Promise.resolve();
        await afterWrite();
        return result;
    }
}

let table: ObservedTable;
let result: Result<VersionedManifest, ManifestApplyError>;

function startProcess(): ManifestRepository {
    return new ManifestRepository(table, new RetryPolicy(new RandomSource(1), new VirtualDelay()));
}

Before(() => {
    table = new ObservedTable();
});

Given("a platform with manifests {string}", async (contents: string) => {
    for (const [index, content] of contents.split(", ").entries()) {
        (await startProcess().apply(createManifestChange(index, content))).unwrap();
    }
});

Given("the platform's manifest row {string} was deleted", async (name: string) => {
    await table.write([{ key: `manifest/${name}`, condition: { kind: "always" }, value: undefined }]);
});

Given(
    "the platform's manifest document was reset to version {int} with content {string}",
    async (version: number, content: string) => {
        const { manifest, digest, appliedBy } = createManifestChange(version - 1, content);
        const value = { version, manifest, digest, appliedBy };
        await table.write([{ key: "manifest/current", condition: { kind: "always" }, value }]);
    },
);

Given("a platform whose manifest row is malformed", async () => {
    await table.write([{ key: "manifest/current", condition: { kind: "always" }, value: { version: "one" } }]);
});

When(
    "operator {string} applies {string} on base {int}",
    async (operator: string, content: string, base: number) => {
        result = await startProcess().apply(createManifestChange(base, content, operator));
    },
);

When(
    "the response to {string} on base {int} is lost and {string} is applied on base {int} before it is read back",
    async (content: string, base: number, nextContent: string, nextBase: number) => {
        table.faults.set({ lostAnswers: 1 });
        table.afterWrite = async () => {
            (await startProcess().apply(createManifestChange(nextBase, nextContent))).unwrap();
        };
        result = await startProcess().apply(createManifestChange(base, content));
    },
);

When(
    "operator {string} applies {string} on base {int} while the platform goes down after the write",
    async (operator: string, content: string, base: number) => {
        table.faults.set({ lostAnswers: 1 });
        table.afterWrite = () => {
            table.faults.set({ down: true });
            return Promise.resolve();
        };
        result = await startProcess().apply(createManifestChange(base, content, operator));
        table.faults.clear();
    },
);

Then("the platform accepts it as version {int}", (version: number) => {
    assert.equal(result.unwrap().version, version);
});

Then(
    "the platform refuses it as a {string} that names version {int} by {string}",
    (kind: string, version: number, appliedBy: string) => {
        assert.ok(result.err);
        assert.equal(result.val.kind, kind);
        assert.deepEqual(result.val.currentManifest, { version, appliedBy });
    },
);

Then("the platform refuses it as {string}", (kind: string) => {
    assert.ok(result.err);
    assert.equal(result.val.kind, kind);
});

Then("the platform's manifest has version {int} and content {string}", async (version: number, content: string) => {
    const stored = (await startProcess().read()).unwrap();
    assert.equal(stored?.version, version);
    assert.equal(stored?.digest, createManifestChange(0, content).digest);
    assert.equal((await startProcess().readVersion()).unwrap(), version);
});

Then("the platform has no manifest and version {int}", async (version: number) => {
    assert.equal((await startProcess().read()).unwrap(), undefined);
    assert.equal((await startProcess().readVersion()).unwrap(), version);
});
