/**
 * Validation of the backend server's announcement.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { Result } from "@lovagepitch/utils/result";
import { describeFault, listOf, validateValue } from "@lovagepitch/utils/validateValue";
import { z } from "zod";

const maximumSlots = 4_096;
const maximumConnections = 4_096;
const maximumServices = 256;
const maximumUrlLength = 256;

const announcementSchema = z.strictObject({
    url: z.string().max(maximumUrlLength).regex(/^http:\/\/[A-Za-z0-9.-]+:\d{1,5}$/, {
        error: "use an address such as http://127.0.0.1:8080",
    }),
    slots: z.int().min(1).max(maximumSlots),
    connections: z.int().min(1).max(maximumConnections),
    services: listOf(z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/))
        .check(z.minLength(1), z.maxLength(maximumServices)),
}) satisfies z.ZodType<BackendServerAnnouncement>;

/**
 * Validates an announcement.
 *
 * @param body - parsed JSON body of the request
 * @returns the announcement, or an error that names the first invalid field
 */
export function parseAnnouncement(body: unknown): Result<BackendServerAnnouncement, Error> {
    return validateValue(announcementSchema, body).mapErr(issue => new Error(describeFault(issue)));
}
