// Fails when code outside platform/ contains a name of the users' platform's wire protocol.
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

/** Names that are used only by the platform's messages, calls and settings. */
const platformNames = [
    "rows-get",
    "rows-feed",
    "rows-tx",
    "rows-parts",
    "run-start",
    "run-stop",
    "lovagepitch-deadline-ms",
    "lovagepitch-expect-instance",
    "LOVAGEPITCH_BOOT",
    "RecordVersion",
    "ExpectedRev",
    "DeadlineMs",
    "AckedSeq",
    "EndedRuns",
    "ClockMs",
    "WaitMs",
    "BestEffort",
    "EstimateMs",
    "MaxAttempts",
    "MaxPerServer",
    "RequiredLabel",
    "TargetDurationMs",
    "ColdRemainingMs",
    "DrainRemainingMs",
    "InternalPorts",
    "ResendMs",
    "ContactMs",
];

const listing = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard"], { encoding: "utf8" });
const files = listing.split("\n").filter(file =>
    /\.(ts|mjs|feature|jsonc|json)$/.test(file) && !file.startsWith("platform/") && !file.startsWith("journal/")
    && file !== "admin/checkPlatformNames.mjs" && file !== "package-lock.json"
);
let found = 0;
for (const file of files) {
    readFileSync(file, "utf8").split("\n").forEach((line, index) => {
        for (const name of platformNames) {
            if (new RegExp(`\\b${name}\\b`).test(line)) {
                found += 1;
                console.error(
                    `${file}:${
                        index + 1
                    }: "${name}" is only allowed in platform/; decode it there into a type of the packages`,
                );
            }
        }
    });
}
console.log(`platform names: ${files.length} files, ${found} found`);
process.exitCode = found > 0 ? 1 : 0;
