/**
 * Connections to targets.
 *
 * A connection is kept for a short time only: targets drop idle connections without notice, and a
 * request that meets such a connection may count as run. Requests that may not be repeated take
 * only connections that were in use a moment ago.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";

/** A connection idle for longer is closed. Well below the idle times of usual servers. */
const MAX_IDLE_MILLISECONDS = 4_000;

/** A request that may not be repeated takes a connection idle for at most so long. */
const MAX_FRESH_IDLE_MILLISECONDS = 1_000;

/** Idle connections kept to one target. */
const MAX_IDLE_PER_TARGET = 2;

/** Share of a target's stated idle time after which its connection is not used any more. */
const SHARE_OF_STATED_IDLE_TIME = 0.5;

interface IdleSocket {
  readonly idleSince: number;
  readonly maxIdleMilliseconds: number;
}

type AgentInternals = {
  freeSockets: Record<string, net.Socket[] | undefined>;
};

/** Connections to all targets of one VM. */
export class TargetConnections extends http.Agent {
  readonly #idle = new WeakMap<net.Socket, IdleSocket>();
  /** Connections that must not be used again whatever their answer says. */
  readonly #spoilt = new WeakSet<net.Socket>();

  constructor() {
    super({ keepAlive: true, maxFreeSockets: MAX_IDLE_PER_TARGET, scheduling: "lifo" });
  }

  /** Closes idle connections to a target that a request of this kind must not use. */
  prepare(host: string, port: number, isIdempotent: boolean): void {
    const name = this.getName({ host, port });
    const { freeSockets } = this as unknown as AgentInternals;
    const now = kernel.getMonotonicMilliseconds();
    for (const socket of [...(freeSockets[name] ?? [])]) {
      const idle = this.#idle.get(socket);
      const limit = Math.min(
        isIdempotent ? MAX_IDLE_MILLISECONDS : MAX_FRESH_IDLE_MILLISECONDS,
        idle?.maxIdleMilliseconds ?? 0,
      );
      // Bytes that arrived on an idle connection belong to no request.
      const isUsable = idle !== undefined && now - idle.idleSince <= limit &&
        socket.readableLength === 0;
      if (!isUsable) {
        socket.destroy();
        freeSockets[name] = freeSockets[name]?.filter((other) => other !== socket);
        if (freeSockets[name]?.length === 0) {
          delete freeSockets[name];
        }
      }
    }
  }

  /** Marks a connection whose state is not certain any more. */
  spoil(socket: net.Socket): void {
    this.#spoilt.add(socket);
  }

  /** Notes how long the target says that it keeps the connection. */
  noteIdleTime(socket: net.Socket, keepAlive: string | undefined): void {
    const seconds = /timeout=(\d+)/.exec(keepAlive ?? "")?.[1];
    const stated = seconds === undefined ? Number.POSITIVE_INFINITY : Number(seconds) * 1_000;
    this.#idle.set(socket, {
      idleSince: kernel.getMonotonicMilliseconds(),
      maxIdleMilliseconds: stated * SHARE_OF_STATED_IDLE_TIME,
    });
  }

  /** Called by the agent when a connection could be kept. */
  override keepSocketAlive(socket: net.Socket): boolean {
    if (this.#spoilt.has(socket) || !this.#idle.has(socket)) {
      return false;
    }
    const known = this.#idle.get(socket);
    this.#idle.set(socket, {
      idleSince: kernel.getMonotonicMilliseconds(),
      maxIdleMilliseconds: known?.maxIdleMilliseconds ?? 0,
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
