import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { findEvacuationChange, isNoticeDue, noEvacuations, type ZoneEvacuations } from "../model/zoneEvacuations.js";
import { EvacuationRow, EvacuationRows } from "../process/evacuationRows.js";
import type { RowsView, SharedRow } from "../process/sharedRows.js";

class SingleLetterRow extends EvacuationRow {
    public override findZone({ key }: SharedRow): string | undefined {
        return key.length === 1 ? key : undefined;
    }
}

let state = noEvacuations;
let rows = createRows();

function createRows(): EvacuationRows {
    return new EvacuationRows(new SingleLetterRow(), evacuations => {
        state = evacuations;
    });
}

function createView(text: string, version: number): RowsView {
    const names = text === "" ? [] : text.split(", ");
    return {
        version,
        storeMilliseconds: 0,
        // The value is of no importance.
        rows: names.map(name => ({
            key: name.replace("removed ", ""),
            value: undefined,
            isRemoved: name.startsWith("removed "),
        })),
    };
}

Given("the zones {string} and {string} were evacuated as of version {int}", (
    first: string,
    second: string,
    version: number,
) => {
    rows = createRows();
    rows.receive(createView(`${second}, ${first}`, version), true);
});

When(
    /^(all rows|the changes) "([^"]*)" are read as of version (\d+)$/,
    (kind: string, text: string, version: string) => {
        rows.receive(createView(text, Number(version)), kind === "all rows");
    },
);

Then("the evacuated zones are {string} as of version {int}", (zones: string, version: number) => {
    assert.deepEqual(state, { revision: version, zones: zones === "" ? [] : zones.split(",") });
});

Then("a state of version 10 or 9 changes nothing, and one of version 11 does", () => {
    for (const revision of [9, 10]) {
        assert.equal(findEvacuationChange(state, { revision, zones: [] }), undefined);
    }
    const change = findEvacuationChange(state, { revision: 11, zones: ["b", "c"] });
    assert.deepEqual(change, { begun: ["c"], ended: ["a"] });
});

Then("a notice is due only to a peer with an older state and other zones", () => {
    const own: ZoneEvacuations = { revision: 10, zones: ["a"] };
    assert.equal(isNoticeDue(own, noEvacuations), true);
    assert.equal(isNoticeDue(own, { revision: 9, zones: ["a"] }), false);
    assert.equal(isNoticeDue(own, { revision: 10, zones: ["b"] }), false);
    assert.equal(isNoticeDue(own, { revision: 11, zones: ["b"] }), false);
});
