/**
 * Validation of the backend server's announcement.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
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
    services: z.array(z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/)).min(1).max(maximumServices).readonly(),
}) satisfies z.ZodType<BackendServerAnnouncement>;

/**
 * Validates an announcement.
 *
 * @param body - parsed JSON body of the request
 * @returns the announcement, or an error that names the invalid fields
 */
export function parseAnnouncement(body: unknown): Result<BackendServerAnnouncement, Error> {
    const parsed = announcementSchema.safeParse(body);
    return parsed.success ? Ok(parsed.data) : Err(new Error(z.prettifyError(parsed.error)));
}
