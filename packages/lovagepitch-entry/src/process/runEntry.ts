/**
 * Runs an entry instance from its settings file until it receives a stop signal.
 */
import { loadEntrySettings } from "@lovagepitch/configuration/loadEntrySettings";
import { readFile } from "node:fs/promises";
import { EntryProcess } from "./entryProcess.js";

const stopSignals = ["SIGTERM", "SIGINT"] as const;

/**
 * Runs an entry instance until SIGTERM or SIGINT, then shuts it down gracefully.
 *
 * @param settingsPath - path of the settings file, JSON with comments
 * @returns a promise that resolves when the shutdown has completed
 * @throws ConfigurationError, LinkError or HttpServerError, whose messages name the remedy
 */
export async function runEntry(settingsPath: string): Promise<void> {
    const settings = loadEntrySettings(await readFile(settingsPath, "utf8"), settingsPath);
    if (settings.err) {
        throw settings.val;
    }
    const entry = new EntryProcess(settings.val);
    const stopRequested = new Promise<void>(resolve => {
        for (const signal of stopSignals) {
            process.on(signal, () => resolve());
        }
    });
    await entry.start();
    await stopRequested;
    await entry.stop();
}
