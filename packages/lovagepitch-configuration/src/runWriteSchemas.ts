/**
 * Writes the JSON Schemas to the directory `schemas` in the working directory.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createJsonSchemas } from "./createJsonSchemas.js";

const directory = "schemas";

mkdirSync(directory, { recursive: true });
for (const file of createJsonSchemas()) {
    writeFileSync(join(directory, file.fileName), file.text);
}
