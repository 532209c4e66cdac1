/**
 * Loading of a job from a file, for the command line.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Result } from "@lovagepitch/utils/result";
import { ConfigurationError } from "./configurationError.js";
import { jobSchema } from "./jobSchema.js";
import { loadDocument } from "./loadDocument.js";
import type { DocumentLimits } from "./parseDocument.js";
import { validateJob } from "./validateJob.js";

/** Jobs may be longer than settings; `validateJob` limits the nesting of their payloads further. */
const limits: DocumentLimits = { maximumTextLength: 64 * 1024 * 1024, maximumDepth: 64 };

/**
 * Parses and validates a job, with the same limits as an entry.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @returns the job, or an error that names file, path and remedy, and line and column where the schema is violated
 */
export function loadJob(text: string, fileName: string): Result<JobRequest, ConfigurationError> {
    return loadDocument<JobRequest>(text, fileName, jobSchema, undefined, limits)
        .andThen(job => checkLimits(job, fileName));
}

function checkLimits(job: JobRequest, fileName: string): Result<JobRequest, ConfigurationError> {
    return validateJob(job).mapErr(problem => {
        const issue = { path: "", problem: problem.detail, remedy: problem.remedy };
        return new ConfigurationError("too-large", [issue], fileName);
    });
}
