/**
 * Passes one request on to other VMs, one after another, while this one reaches no target.
 */

import type * as model from "@hemlockwalk/model";
import type * as bodies from "./body.ts";
import * as forwarding from "./forwarding.ts";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as peers from "./serving_peers.ts";
import * as calls from "./target_call.ts";
import type * as types from "./types.ts";

/** VMs to which one request may be passed on. */
const MAX_PEERS = 3;

/** What decides whether a request is passed on. */
export interface PassingOnSituation {
  /** Whether this VM reaches no target. */
  readonly isIsolated: boolean;
  /** Whether another VM has passed the request on to this one. */
  readonly isForwarded: boolean;
  /** Targets that may still be tried. */
  readonly attemptsLeft: number;
  /** Whether the whole request can be sent, possibly once more. */
  readonly canBeSent: boolean;
  /** Whether it may begin, as far as a stop of this VM allows it. */
  readonly mayBegin: boolean;
}

/** Whether another VM is to serve a request, since this one reaches no target. */
export function mayPassOn(situation: PassingOnSituation): boolean {
  return situation.isIsolated && !situation.isForwarded && situation.attemptsLeft > 0 &&
    situation.canBeSent && situation.mayBegin;
}

/** What decides how much of a response is buffered before it begins. */
export interface AnswerBuffering {
  /** Called with the length that the head of a response states. */
  recordLength(accepted: types.AcceptedRequest, bytes: number): void;
  /** Whether so many bytes of a response may be buffered. */
  mayBuffer(accepted: types.AcceptedRequest, bytes: number): boolean;
}

/** The calls of one request to other VMs. */
export class PeerCalls {
  readonly #context: contexts.RequestContext;
  readonly #trace: log.RequestTrace;
  readonly #buffering: AnswerBuffering;
  readonly #tried = new Set<model.VmId>();

  /** @param buffering What decides how much of a response is buffered. */
  constructor(
    context: contexts.RequestContext,
    trace: log.RequestTrace,
    buffering: AnswerBuffering,
  ) {
    this.#context = context;
    this.#trace = trace;
    this.#buffering = buffering;
  }

  /** Whether the request may be passed on once more after another VM could not serve it. */
  get mayTryAnother(): boolean {
    return this.#tried.size < MAX_PEERS;
  }

  /** Chooses a VM that has not been tried and may get the request; undefined if there is none. */
  choose(accepted: types.AcceptedRequest): peers.ServingPeer | undefined {
    return this.#context.peers.choose(this.#tried, accepted.homes);
  }

  /** Passes the request on to a VM, which may send it to as many targets as `attempts`. */
  async call(
    accepted: types.AcceptedRequest,
    attempts: number,
    body: bodies.RequestBody,
    peer: peers.ServingPeer,
    signal: AbortSignal,
  ): Promise<calls.CallResult> {
    const { peers: servingPeers, profile } = this.#context;
    this.#tried.add(peer.vm);
    this.#trace.add("passed_on", { vm: peer.vm, attempts });
    servingPeers.begin(peer.vm);
    try {
      const result = await calls.callTarget({
        request: accepted,
        destination: {
          kind: "peer",
          address: peer.address,
          decisions: forwarding.encodeForwarded(accepted, attempts),
        },
        body,
        profile,
        connections: servingPeers.connections,
        connectTimeoutMilliseconds: servingPeers.connectTimeoutMilliseconds,
        recordConnectTime: () => undefined,
        isStillAccepted: () => true,
        // The other VM has recorded what the target says of itself.
        recordNotice: () => undefined,
        recordLength: (bytes) => this.#buffering.recordLength(accepted, bytes),
        mayBuffer: (bytes) => this.#buffering.mayBuffer(accepted, bytes),
        signal,
      });
      this.#record(peer.vm, result);
      return result;
    } finally {
      servingPeers.end(peer.vm);
    }
  }

  #record(vm: model.VmId, result: calls.CallResult): void {
    if (isFaultOfPeer(result)) {
      this.#context.peers.avoid(vm);
    }
    this.#trace.add("peer_result", { vm, result: describe(result) });
  }
}

/** Whether a request may have run that was passed on with this result. */
export function mayHaveRun(result: calls.CallResult): boolean {
  switch (result.kind) {
    case "answered":
    case "failed":
      return true;
    case "refused_by_peer":
      return !refusals.isNotRun(result.refusal);
    case "not_run":
      return false;
  }
}

/**
 * How many targets may have received a request that was passed on with this result. A VM that does
 * not tell may have used all attempts that it was allowed.
 */
export function countReceived(result: calls.CallResult, attempts: number): number {
  if (!mayHaveRun(result)) {
    return 0;
  }
  const stated = result.kind === "refused_by_peer" ? result.refusal.received : undefined;
  return Math.min(stated ?? attempts, attempts);
}

/** Whether another VM may well serve the request. */
function isFaultOfPeer(result: calls.CallResult): boolean {
  switch (result.kind) {
    case "answered":
      return false;
    case "refused_by_peer":
      return forwarding.mayServeElsewhere(result.refusal) ||
        forwarding.isCutOff(result.refusal);
    case "failed":
      return result.reason !== "cancelled";
    case "not_run":
      return true;
  }
}

function describe(result: calls.CallResult): string {
  switch (result.kind) {
    case "answered":
      return "answered";
    case "refused_by_peer":
      return result.refusal.reason;
    case "failed":
    case "not_run":
      return result.reason;
  }
}
