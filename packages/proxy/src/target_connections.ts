/**
 * Connections to targets.
 *
 * An idle connection is kept only for a short time: targets drop idle connections without notice,
 * and a request sent on such a connection may have to be counted as run. Requests that may not be
 * retried use only connections that were in use a moment ago.
 *
 * A request is never sent twice on one connection. A target may send a second copy of a response,
 * which names the request that it was for; on a connection that carries each request once, a response
 * with the identifier of the present request can only be the response to the present attempt. The
 * address of a target says nothing of that: it may have belonged to another target, at which the same
 * request was tried before.
 */

import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import type * as types from "./types.ts";

/**
 * Connections that are idle for longer are closed. Well below the idle timeouts of common servers.
 */
const MAX_IDLE_MILLISECONDS = 4_000;

/** Longest idle time of a connection that is used for a request that is not idempotent. */
const MAX_FRESH_IDLE_MILLISECONDS = 1_000;

/** Most idle connections kept to one target. */
const MAX_IDLE_PER_TARGET = 2;

/**
 * Most requests that are sent on one connection, which limits the memory for their identifiers.
 * At 64 bytes each, they take 16 KiB.
 */
const MAX_REQUESTS_PER_CONNECTION = 256;

/** Identifiers of up to this length are remembered as they are, longer ones as a digest. */
const MAX_KEY_LENGTH = 64;

/** Share of a target's announced idle timeout after which its connection is no longer used. */
const SHARE_OF_ANNOUNCED_IDLE_TIME = 0.5;

/** A connection as a request found it that was sent on it. */
export interface ConnectionUse {
  /** The own port, which the target sees as well; undefined if it is not known yet. */
  readonly getPort: () => number | undefined;
  /** Requests that were sent on it before. */
  readonly earlierRequests: number;
  /** Whether the same request, by its identifier, was sent on it before. */
  readonly isRepetition: boolean;
}

/** What the choice of a connection depends on in a request. */
export type ConnectionCriteria = Pick<types.AcceptedRequest, "id"> & {
  readonly route: Pick<types.AcceptedRoute, "isIdempotent">;
};

interface IdleSocket {
  readonly idleSince: number;
  readonly maxIdleMilliseconds: number;
}

type AgentInternals = {
  freeSockets: Record<string, net.Socket[] | undefined>;
};

/** The connections of one VM to all targets. */
export class TargetConnections extends http.Agent {
  readonly #sourceAddress: string | undefined;
  readonly #idle = new WeakMap<net.Socket, IdleSocket>();
  /** Connections that must not be reused, whatever headers their response carries. */
  readonly #notReusable = new WeakSet<net.Socket>();
  /** Identifiers of the requests that were sent on each connection. */
  readonly #requests = new WeakMap<net.Socket, Set<string>>();

  /** @param sourceAddress Own address from which to connect; undefined for any. */
  constructor(sourceAddress?: string) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_TARGET,
      scheduling: "lifo",
      ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
    });
    this.#sourceAddress = sourceAddress;
  }

  /** Closes idle connections to a target that must not be used for a request. */
  closeUnusable(host: string, port: number, request: ConnectionCriteria): void {
    const name = this.#getPoolName(host, port);
    const { freeSockets } = this as unknown as AgentInternals;
    const key = createRequestKey(request.id);
    const now = kernel.getMonotonicMilliseconds();
    for (const socket of [...(freeSockets[name] ?? [])]) {
      const idle = this.#idle.get(socket);
      const limit = Math.min(
        request.route.isIdempotent ? MAX_IDLE_MILLISECONDS : MAX_FRESH_IDLE_MILLISECONDS,
        idle?.maxIdleMilliseconds ?? 0,
      );
      // Bytes that arrived on an idle connection do not belong to any request.
      // A connection that its target has ended stays among the free ones until it is closed.
      const isUsable = idle !== undefined && now - idle.idleSince <= limit &&
        socket.writable && !socket.readableEnded && socket.readableLength === 0 &&
        this.#requests.get(socket)?.has(key) !== true;
      if (!isUsable) {
        socket.destroy();
        freeSockets[name] = freeSockets[name]?.filter((other) => other !== socket);
        if (freeSockets[name]?.length === 0) {
          delete freeSockets[name];
        }
      }
    }
  }

  /** Closes all idle connections to a target; those in use close after their response. */
  closeIdle(host: string, port: number): void {
    const name = this.#getPoolName(host, port);
    const { freeSockets } = this as unknown as AgentInternals;
    for (const socket of freeSockets[name] ?? []) {
      socket.destroy();
    }
  }

  /** The agent's name for the connections to a target, of which the source address is part. */
  #getPoolName(host: string, port: number): string {
    const localAddress = this.#sourceAddress;
    return this.getName({ host, port, ...(localAddress === undefined ? {} : { localAddress }) });
  }

  /** Excludes a connection from reuse because its state is uncertain. */
  excludeFromReuse(socket: net.Socket): void {
    this.#notReusable.add(socket);
  }

  /** Records that a request is sent on a connection. */
  recordRequest(socket: net.Socket, requestId: string): ConnectionUse {
    const key = createRequestKey(requestId);
    const earlier = this.#requests.get(socket) ?? new Set();
    const use = {
      getPort: () => socket.localPort,
      earlierRequests: earlier.size,
      isRepetition: earlier.has(key),
    };
    this.#requests.set(socket, earlier.add(key));
    return use;
  }

  /** Records the idle timeout that the target announced for a connection. */
  recordIdleTimeout(socket: net.Socket, keepAlive: string | undefined): void {
    const seconds = /timeout=(\d+)/.exec(keepAlive ?? "")?.[1];
    const announced = seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * 1_000;
    this.#idle.set(socket, {
      idleSince: kernel.getMonotonicMilliseconds(),
      maxIdleMilliseconds: announced * SHARE_OF_ANNOUNCED_IDLE_TIME,
    });
  }

  /** Called by the agent when a connection could be kept. */
  override keepSocketAlive(socket: net.Socket): boolean {
    const requests = this.#requests.get(socket)?.size ?? 0;
    if (
      this.#notReusable.has(socket) || !this.#idle.has(socket) ||
      requests >= MAX_REQUESTS_PER_CONNECTION
    ) {
      return false;
    }
    const previous = this.#idle.get(socket);
    this.#idle.set(socket, {
      idleSince: kernel.getMonotonicMilliseconds(),
      maxIdleMilliseconds: previous?.maxIdleMilliseconds ?? 0,
    });
    socket.setTimeout(MAX_IDLE_MILLISECONDS, () => socket.destroy());
    return true;
  }

  /** Called by the agent when it uses a kept connection. */
  override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
    socket.removeAllListeners("timeout");
  }
}

/** What is remembered of a request, of bounded length. */
function createRequestKey(requestId: string): string {
  return requestId.length <= MAX_KEY_LENGTH
    ? requestId
    : crypto.createHash("sha256").update(requestId).digest("base64");
}
