/**
 * Checks requests that other VMs have passed on against what this VM knows itself.
 *
 * The port of the mesh takes them from whoever reaches it, and with them a workspace whose key and
 * rate are not checked again. So the sender must have the address of a known VM, and route, service
 * and workspace must be what the declarations in force here give for the request. The settings of
 * the route are taken from these declarations; the sender can only narrow them.
 */

import type * as http from "node:http";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as neverthrow from "neverthrow";
import * as forwarding from "./forwarding.ts";
import * as headers from "./headers.ts";
import * as refusals from "./refusals.ts";
import type * as log from "./request_log.ts";
import type * as types from "./types.ts";

/**
 * Part of the time for the answer that is kept for its way back, so that the VM that took the request
 * does not give up just before it.
 */
const RETURN_MARGIN_MILLISECONDS = 10;

/** Shortest interval between log lines on rejected requests, to limit the volume of the log. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Prefix of an IPv4 address on a socket that also accepts IPv6. */
const MAPPED_ADDRESS_PREFIX = "::ffff:";

/** What is checked of the members of the mesh. */
export type KnownMembers = Pick<mesh.Mesh, "listOthers">;

/** What the declarations in force say of a request that was passed on. */
interface DeclaredRequest {
  readonly route: declarations.DeclaredRoute;
  readonly service: model.ServiceId;
  readonly workspace: declarations.DeclaredWorkspace | undefined;
}

/** Accepts or rejects requests that other VMs have passed on. */
export class ForwardedRequests {
  readonly #store: declarations.DeclarationStore;
  readonly #members: KnownMembers;
  readonly #logger: kernel.ComponentLogger;
  #loggedAt = Number.NEGATIVE_INFINITY;
  #unlogged = 0;

  constructor(
    store: declarations.DeclarationStore,
    members: KnownMembers,
    logger: kernel.ComponentLogger,
  ) {
    this.#store = store;
    this.#members = members;
    this.#logger = logger;
  }

  /** Accepts a request, or returns why not. A rejected request has not run here. */
  accept(
    request: http.IncomingMessage,
    trace: log.RequestTrace,
    profile: types.HeaderProfile,
  ): types.AcceptedRequest | refusals.Refusal {
    const view = this.#store.current;
    if (view === undefined) {
      return { status: 503, reason: "no_declarations" };
    }
    const from = getSenderHost(request);
    const decoded = forwarding.decodeForwarded(String(request.headers[headers.FORWARDED_HEADER]));
    if (decoded.isErr()) {
      return this.#reject(trace, from, { status: 400, reason: "invalid_forward" }, decoded.error);
    }
    const isMember = this.#members.listOthers().some(({ address }) =>
      kernel.splitAddress(address).host === from
    );
    if (!isMember) {
      const error = "No known VM has the address of the sender.";
      return this.#reject(trace, from, createUnavailable("unknown_peer"), error);
    }
    const declared = findDeclared(view, request, decoded.value);
    if (declared.isErr()) {
      const refusal = createUnavailable("undeclared_forward");
      return this.#reject(trace, from, refusal, declared.error);
    }
    return createAccepted(request, trace, profile, decoded.value, declared.value);
  }

  #reject(
    trace: log.RequestTrace,
    from: string,
    refusal: refusals.Refusal,
    error: string,
  ): refusals.Refusal {
    trace.add("rejected", { from, error });
    this.#unlogged++;
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#loggedAt >= LOG_INTERVAL_MILLISECONDS) {
      this.#logger.write(kernel.LogMessages.forwardRejected, {
        from,
        reason: refusal.reason,
        error,
        count: this.#unlogged,
      });
      this.#loggedAt = now;
      this.#unlogged = 0;
    }
    return refusal;
  }
}

/** A refusal for which another VM may well accept the request. */
function createUnavailable(reason: types.RefusalReason): refusals.Refusal {
  const retryAfterSeconds = refusals.RETRY_AFTER_SECONDS.notReached;
  return { status: 503, reason, retryAfterSeconds };
}

function getSenderHost(request: http.IncomingMessage): string {
  const address = request.socket.remoteAddress ?? "";
  return address.startsWith(MAPPED_ADDRESS_PREFIX)
    ? address.slice(MAPPED_ADDRESS_PREFIX.length)
    : address;
}

/** Finds what a request may be by the declarations; the error states what they do not allow. */
function findDeclared(
  view: declarations.DeclarationView,
  request: http.IncomingMessage,
  decisions: forwarding.ForwardedDecisions,
): neverthrow.Result<DeclaredRequest, string> {
  const [path = "/"] = (request.url ?? "/").split("?", 1);
  const route = view.findRoute(request.headers.host ?? "", path);
  if (route === undefined || route.id !== decisions.route) {
    return neverthrow.err("The request belongs to another route, or to none.");
  }
  const service = route.destinations.find((one) => one.service === decisions.service)?.service;
  if (service === undefined) {
    return neverthrow.err("The route does not lead to the service.");
  }
  const workspace = decisions.workspace === undefined
    ? undefined
    : view.getWorkspaceById(model.createWorkspaceId(decisions.workspace));
  if (decisions.workspace !== undefined && workspace === undefined) {
    return neverthrow.err("The workspace is not declared.");
  }
  const requiresWorkspace = view.requiresKeys && !route.isPublic;
  if (requiresWorkspace !== (workspace !== undefined)) {
    return neverthrow.err(
      requiresWorkspace ? "The route requires a workspace." : "The route is public.",
    );
  }
  return neverthrow.ok({ route, service, workspace });
}

function createAccepted(
  request: http.IncomingMessage,
  trace: log.RequestTrace,
  profile: types.HeaderProfile,
  decisions: forwarding.ForwardedDecisions,
  { route, service, workspace }: DeclaredRequest,
): types.AcceptedRequest {
  const { id, arrivedAt } = trace;
  const attempts = Math.min(decisions.attempts, route.attempts);
  trace.add("received", { service, attempts, left: decisions.left - RETURN_MARGIN_MILLISECONDS });
  return {
    id,
    route: {
      id: route.id,
      isIdempotent: route.isIdempotent && decisions.isIdempotent,
      objectiveMilliseconds: route.objectiveMilliseconds,
      attempts,
    },
    workspace: workspace?.id,
    service,
    priority: workspace?.priority ?? route.priority,
    homes: placement.intersectHomes(route.homes, workspace?.homes),
    arrivedAt,
    endsAt: arrivedAt + decisions.left - RETURN_MARGIN_MILLISECONDS,
    // A VM that stops accepts none.
    isLate: false,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: headers.createForwardedHeaders(request, profile),
  };
}
