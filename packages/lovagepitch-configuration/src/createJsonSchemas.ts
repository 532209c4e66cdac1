/**
 * JSON Schemas of all documents, for editors and pipelines.
 */
import { z } from "zod";
import { agentSettingsSchema } from "./agentSettingsSchema.js";
import { entrySettingsSchema } from "./entrySettingsSchema.js";
import { jobSchema } from "./jobSchema.js";
import { schemaReferenceKey } from "./loadDocument.js";
import { manifestSchema } from "./manifestSchema.js";
import { operatorSettingsSchema } from "./operatorSettingsSchema.js";

/** A JSON Schema and the name of its file. */
export interface JsonSchemaFile {
    readonly fileName: string;
    readonly text: string;
}

const indentation = 4;
const schemaReferenceShape = {
    [schemaReferenceKey]: z.string().optional().describe("The JSON Schema of this document."),
};

/**
 * Creates the JSON Schemas from the schemas that validate the documents.
 *
 * @returns the files, in order of their names
 */
export function createJsonSchemas(): readonly JsonSchemaFile[] {
    return [
        createFile("agent-settings", "Settings of an agent", agentSettingsSchema.extend(schemaReferenceShape)),
        createFile("entry-settings", "Settings of an entry", entrySettingsSchema.extend(schemaReferenceShape)),
        createFile("job", "A job", jobSchema.extend(schemaReferenceShape)),
        createFile("manifest", "Manifest", manifestSchema.extend(schemaReferenceShape)),
        createFile(
            "operator-settings",
            "Settings of the operator's commands",
            operatorSettingsSchema.extend(schemaReferenceShape),
        ),
    ];
}

function createFile(name: string, title: string, schema: z.ZodType): JsonSchemaFile {
    // Defaults are filled in when a document is read, so the JSON Schema describes the input, before defaults.
    const content = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
    const text = `${JSON.stringify({ title, ...content }, undefined, indentation)}\n`;
    return { fileName: `${name}.schema.json`, text };
}
