// Runs all features with Cucumber, counts failures listed in KNOWN-RED.txt separately, and prints "N passed, N failed".
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import { existsSync, readFileSync } from "node:fs";
import { PassThrough } from "node:stream";

const knownRedFile = "KNOWN-RED.txt";

/** Reads the names of the scenarios that may fail: the text before the first "|" of each entry. */
function loadKnownRed() {
    if (!existsSync(knownRedFile)) {
        return new Set();
    }
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    const entries = lines.filter(line => line.includes("|") && !line.startsWith("#"));
    return new Set(entries.map(line => line.split("|")[0].trim()));
}

function describe(pickle, attempts) {
    const messages = attempts.filter(result => result.message).map(result => result.message.split("\n").slice(0, 8));
    return `${pickle.uri} > ${pickle.name}\n        ${messages.flat().join("\n        ")}`;
}

const pathArguments = process.argv.slice(2).filter(argument => !argument.startsWith("--"));
const nameArguments = process.argv.slice(2).filter(argument => argument.startsWith("--name=")).map(a => a.slice(7));
const { runConfiguration } = await loadConfiguration({
    file: false,
    provided: {
        paths: pathArguments.length > 0
            ? pathArguments
            : ["packages/*/src/__tests__/**/*.feature", "platform/src/__tests__/**/*.feature"],
        import: ["packages/*/dist/__tests__/**/*.js", "platform/dist/__tests__/**/*.js"],
        name: nameArguments,
        order: "defined",
    },
});
const pickles = new Map();
const testCases = new Map();
const started = new Map();
const results = new Map();
const sink = new PassThrough();
sink.resume();
const outcome = await runCucumber(runConfiguration, { stdout: sink, stderr: process.stderr }, message => {
    if (message.pickle) {
        pickles.set(message.pickle.id, message.pickle);
    }
    if (message.testCase) {
        testCases.set(message.testCase.id, message.testCase.pickleId);
    }
    if (message.testCaseStarted) {
        started.set(message.testCaseStarted.id, testCases.get(message.testCaseStarted.testCaseId));
    }
    if (message.testStepFinished) {
        const pickleId = started.get(message.testStepFinished.testCaseStartedId);
        results.set(pickleId, [...results.get(pickleId) ?? [], message.testStepFinished.testStepResult]);
    }
    if (message.parseError) {
        console.error(message.parseError.message);
    }
});
const knownRed = loadKnownRed();
let passed = 0;
const failures = [];
const expectedFailures = [];
for (const [pickleId, attempts] of results) {
    const pickle = pickles.get(pickleId);
    if (attempts.every(result => result.status === "PASSED")) {
        passed += 1;
    }
    else if (knownRed.has(pickle.name)) {
        expectedFailures.push(describe(pickle, attempts));
    }
    else {
        failures.push(describe(pickle, attempts));
    }
}
for (const failure of failures) {
    console.log(`FAILED    ${failure}`);
}
for (const failure of expectedFailures) {
    console.log(`KNOWN RED ${failure}`);
}
const unexplained = !outcome.success && failures.length === 0 && expectedFailures.length === 0;
const failed = failures.length + (unexplained ? 1 : 0);
console.log(`known red: ${expectedFailures.length}`);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed > 0 || passed === 0 ? 1 : 0);
