#!/usr/bin/env node
/**
 * Entry point of the `lovagepitch` command.
 */
import { hideBin } from "yargs/helpers";
import { runCommandLine } from "./runCommandLine.js";
import { SystemEnvironment } from "./systemEnvironment.js";

// A reader such as `head` may close the pipe before everything is written.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    if (error.code !== "EPIPE") {
        throw error;
    }
});

const environment = new SystemEnvironment();
process.exitCode = await runCommandLine(hideBin(process.argv), environment);
await environment.close();
