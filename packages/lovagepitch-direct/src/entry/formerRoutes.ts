/**
 * Routes of earlier versions of the configuration: a caller names its job by the path under which it was submitted, also when the
 * operator has removed the route or given its path to another one.
 */
import { matchesRoute, type Route } from "../model/dispatchConfiguration.js";

/** Largest number of former routes that are remembered; the oldest are forgotten first. */
const maximumFormerRoutes = 10_000;

/** Remembers routes that are no longer in force. */
export class FormerRoutes {
    private readonly routes = new Map<string, Route>();

    /**
     * Records that a version of the configuration replaces another one.
     *
     * @param previous - routes that were in force
     * @param next - routes that are in force now
     */
    public replace(previous: readonly Route[], next: readonly Route[]): void {
        previous.forEach(route => this.routes.set(describeLocation(route), route));
        next.forEach(route => this.routes.delete(describeLocation(route)));
        for (const key of this.routes.keys()) {
            if (this.routes.size <= maximumFormerRoutes) {
                return;
            }
            this.routes.delete(key);
        }
    }

    /**
     * Lists the former routes that a request matches.
     *
     * @param host - host name of the request in lower case, without a port
     * @param path - path of the request, without a query
     * @returns the routes, longest prefix first
     */
    public list(host: string, path: string): readonly Route[] {
        return [...this.routes.values()]
            .filter(route => matchesRoute(route, host, path))
            .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
}

/** A route is the same one as long as its name, its host and its path are. */
function describeLocation({ name, host, pathPrefix }: Route): string {
    return JSON.stringify([name, host, pathPrefix]);
}
