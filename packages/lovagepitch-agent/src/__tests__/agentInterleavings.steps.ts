import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { Interleaving, runs } from "./agentInterleavings.js";

Then(
    "{int} interleavings from seed {int} preserve the agent's invariants with a ledger limit of {int} bytes",
    (numRuns: number, seed: number, maximumLedgerBytes: number) => {
        let dispatches = 0;
        const property = fc.property(runs, run => {
            const interleaving = new Interleaving(maximumLedgerBytes);
            interleaving.run(run);
            dispatches += interleaving.countDispatches();
        });
        fc.assert(property, { numRuns, seed });
        assert.ok(dispatches > numRuns, `only ${dispatches} dispatches: the interleavings test too little`);
    },
);
