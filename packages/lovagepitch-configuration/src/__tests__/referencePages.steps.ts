import { Then } from "@cucumber/cucumber";
import type { ProblemKind } from "@lovagepitch/types/problem";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { createJsonSchemas } from "../createJsonSchemas.js";
import { loadJob } from "../loadJob.js";

interface SchemaNode {
    readonly properties?: { readonly [name: string]: SchemaNode };
    readonly items?: SchemaNode;
    readonly default?: unknown;
}

/** The type makes the list exhaustive, so that a new kind has to be added here. */
const problemKinds: Readonly<Record<ProblemKind, true>> = {
    "malformed-request": true,
    "body-too-large": true,
    "invalid-submission": true,
    "expired-submission": true,
    "submission-mismatch": true,
    "unknown-submission": true,
    "unknown-service": true,
    "unknown-kind": true,
    "unknown-team": true,
    "no-permitted-place": true,
    "task-too-large": true,
    "too-many-tasks": true,
    "deadline-unreachable": true,
    "quota-exceeded": true,
    "overloaded": true,
    "no-configuration": true,
    "platform-unavailable": true,
    "keeper-unreachable": true,
    "outcome-unknown": true,
    "stopping": true,
};

function listRows(page: string): readonly string[] {
    return readFileSync(page, "utf8").split("\n").filter(line => line.startsWith("| `"));
}

function checkKeys(node: SchemaNode, rows: readonly string[]): void {
    for (const [name, child] of Object.entries(node.properties ?? {})) {
        if (name === "$schema") {
            continue;
        }
        const pattern = new RegExp(`^\\| [^|]*\\b${name}\``);
        const row = rows.find(candidate => pattern.test(candidate));
        const hasKeys = child.properties !== undefined || child.items?.properties !== undefined;
        assert.ok(row !== undefined || hasKeys, `${name} has no row`);
        if (row !== undefined && child.default !== undefined && !hasKeys) {
            assert.ok(
                row.includes(JSON.stringify(child.default)),
                `${name}: its default is missing`,
            );
        }
        checkKeys(child, rows);
        checkKeys(child.items ?? {}, rows);
    }
}

Then("the page {string} names every key of the schema {string}", (page: string, schemaName: string) => {
    const file = createJsonSchemas().find(candidate => candidate.fileName === schemaName);
    assert.ok(file);
    checkKeys(JSON.parse(file.text) as SchemaNode, listRows(page));
});

Then("the page {string} has a row for every kind of problem", (page: string) => {
    const rows = listRows(page).map(row => row.split("|")[1] ?? "");
    for (const kind of Object.keys(problemKinds)) {
        assert.ok(rows.some(row => row.includes(`\`${kind}\``)), `${kind} has no row`);
    }
});

Then("the first JSON document on the page {string} is a valid job", (page: string) => {
    const document = /```json\n([^`]*)```/.exec(readFileSync(page, "utf8"))?.[1] ?? "";
    assert.ok(loadJob(document, page).ok);
});
