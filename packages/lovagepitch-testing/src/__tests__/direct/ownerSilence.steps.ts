import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { findShortestTrial, type OwnerEnd, type ShortestTrial } from "./ownerSilenceSearch.js";

let shortest: ShortestTrial | undefined;

When(
    /^the owner of a long job (is killed|is frozen) and (\d) of its last announcements are lost, and another entry gets the job$/,
    (ownerEnd: OwnerEnd, lost: string) => {
        shortest = findShortestTrial(ownerEnd, Number(lost));
    },
);

Then(
    "the other entry starts the job after the owner's last run has ended, and within {int} ms in the worst case",
    (reached: number) => {
        assert.ok(shortest);
        const message = JSON.stringify(shortest);
        assert.ok(shortest.gapMilliseconds > 0, `a run of the owner goes on: ${message}`);
        assert.ok(shortest.gapMilliseconds <= reached, `the search does not find the worst instant: ${message}`);
    },
);
