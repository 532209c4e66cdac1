import { After, Given, Then } from "@cucumber/cucumber";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import type { ConditionalWrite, WriteCondition } from "@lovagepitch/platform/tableService";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { type PlatformFixture, startPlatform } from "./platformServer.fixture.js";

const absent: WriteCondition = { kind: "absent" };
const always: WriteCondition = { kind: "always" };
const keysWithSpecialCharacters = ["a/b", "a%2Fb", "a b?c=d&e#f", "../x", "é✓", "\"'"];

let platform: PlatformFixture | undefined;

function createWrite(key: string, condition: WriteCondition, value: unknown): ConditionalWrite {
    return { key, condition, value };
}

function assertKind(result: Result<unknown, PlatformError>, kind: string): void {
    assert.ok(result.err);
    assert.equal(result.val.kind, kind, result.val.message);
}

const rules: Readonly<Record<string, (platform: PlatformFixture) => Promise<void>>> = {
    "a missing row is undefined": async ({ table }) => {
        assert.equal((await table.read("row")).unwrap(), undefined);
        assert.deepEqual((await table.list("row")).unwrap(), []);
    },
    "a row is read with its value and tag": async ({ table }) => {
        const value = { text: "x", list: [1, { deep: false }] };
        const [etag] = (await table.write([createWrite("row", absent, value)])).unwrap();
        assert.deepEqual((await table.read("row")).unwrap(), { key: "row", value, etag });
    },
    "keys may contain any character": async ({ table }) => {
        (await table.write(keysWithSpecialCharacters.map(key => createWrite(key, absent, key)))).unwrap();
        for (const key of keysWithSpecialCharacters) {
            assert.equal((await table.read(key)).unwrap()?.value, key);
            assert.equal((await table.list(key)).unwrap()[0]?.key, key);
        }
    },
    "a listing contains the prefix's rows in order": async ({ table }) => {
        await table.write(["b/2", "a/1", "b/1", "b", "c"].map(key => createWrite(key, absent, key)));
        assert.deepEqual((await table.list("b/")).unwrap().map(row => row.key), ["b/1", "b/2"]);
    },
    "the condition absent is met only without a row": async ({ table }) => {
        (await table.write([createWrite("row", absent, 1)])).unwrap();
        assertKind(await table.write([createWrite("row", absent, 2)]), "conflict");
        (await table.write([createWrite("row", always, undefined)])).unwrap();
        (await table.write([createWrite("row", absent, 3)])).unwrap();
    },
    "a tag matches only the current state": async ({ table }) => {
        const [first] = (await table.write([createWrite("row", absent, 1)])).unwrap();
        const withFirst: WriteCondition = { kind: "etag", etag: String(first) };
        (await table.write([createWrite("row", withFirst, 2)])).unwrap();
        assertKind(await table.write([createWrite("row", withFirst, 3)]), "conflict");
        assertKind(await table.write([createWrite("other", withFirst, 3)]), "conflict");
        assert.equal((await table.read("row")).unwrap()?.value, 2);
    },
    "a tag of a deleted row never matches again": async ({ table }) => {
        const [first] = (await table.write([createWrite("row", absent, 1)])).unwrap();
        const withFirst: WriteCondition = { kind: "etag", etag: String(first) };
        assert.deepEqual((await table.write([createWrite("row", withFirst, undefined)])).unwrap(), [""]);
        (await table.write([createWrite("row", absent, 1)])).unwrap();
        assertKind(await table.write([createWrite("row", withFirst, 2)]), "conflict");
    },
    "a transaction writes all rows or none": async ({ table }) => {
        (await table.write([createWrite("b", absent, 1)])).unwrap();
        assertKind(
            await table.write([createWrite("a", absent, 1), createWrite("b", absent, 2), createWrite("c", always, 1)]),
            "conflict",
        );
        assert.deepEqual((await table.list("")).unwrap().map(row => row.key), ["b"]);
    },
    "a conflict names its rows": async ({ table }) => {
        (await table.write([createWrite("b", absent, 1), createWrite("c", absent, 1)])).unwrap();
        const result = await table.write([
            createWrite("a", absent, 1),
            createWrite("b", absent, 2),
            createWrite("c", absent, 2),
        ]);
        assertKind(result, "conflict");
        assert.deepEqual((result.val as PlatformError).conflictingKeys, ["b", "c"]);
    },
    "a transaction may not name a row twice": async ({ table }) => {
        assertKind(await table.write([createWrite("a", absent, 1), createWrite("a", always, 2)]), "invalid");
        assert.equal((await table.read("a")).unwrap(), undefined);
    },
    "a missing object is undefined": async ({ objects }) => {
        assert.equal((await objects.get("object")).unwrap(), undefined);
    },
    "an object is replaced as a whole": async ({ objects }) => {
        (await objects.put("a/b c", Buffer.from([0, 255, 1, 2]))).unwrap();
        (await objects.put("a/b c", Buffer.from([7]))).unwrap();
        assert.deepEqual([...(await objects.get("a/b c")).unwrap() ?? []], [7]);
    },
};

Given("an empty {string} platform", async (kind: string) => {
    platform = await startPlatform(kind);
});

Then("the platform satisfies the rule {string}", async (name: string) => {
    const rule = rules[name];
    assert.ok(rule !== undefined && platform !== undefined);
    await rule(platform);
});

After(async () => {
    await platform?.close();
    platform = undefined;
});
