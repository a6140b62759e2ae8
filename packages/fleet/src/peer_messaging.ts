/**
 * Channels, messages and calls on top of any transport that carries frames between VMs.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

/** Version of the frame format. A VM drops frames of a version that it does not support. */
export const FRAME_VERSION = 1;

/** One message as it is sent. */
export interface Frame {
  readonly version: number;
  readonly kind: "message" | "call" | "answer" | "failure";
  readonly channel: string;
  /** Matches an answer or failure to its call; 0 for a plain message. */
  readonly callId: number;
  readonly payload: unknown;
}

interface PendingCall {
  readonly to: model.VmId;
  readonly settle: (result: neverthrow.Result<unknown, errors.PeerError>) => void;
}

/** Creates the name of a channel. */
export function createChannelName(name: string): types.ChannelName {
  return name as types.ChannelName;
}

/** Maximum number of handlers running for one peer; further messages and calls are refused. */
const MAX_RUNNING_HANDLERS_PER_PEER = 512;

const NO_HANDLER = "no handler";

/** Called with the reason for which a frame was dropped. */
export type DropListener = (reason: "malformed" | "version" | "overloaded" | "late") => void;

const FRAME_KINDS: ReadonlySet<unknown> = new Set(["message", "call", "answer", "failure"]);

/** Validates a received value as a frame; undefined if it is not one. */
export function parseFrame(value: unknown): Frame | undefined {
  if (typeof value !== "object" || value === null) {
    return undefined;
  }
  const frame = value as Partial<Frame>;
  const isFrame = typeof frame.version === "number" && FRAME_KINDS.has(frame.kind) &&
    typeof frame.channel === "string" && Number.isSafeInteger(frame.callId);
  return isFrame ? frame as Frame : undefined;
}

/** The part of the daemon that a channel belongs to: its name up to the first dot. */
export function getPart(channel: string): string {
  return channel.split(".", 1)[0] ?? channel;
}

/** Base class of all peer networks. A subclass transmits the frames. */
export abstract class PeerMessaging implements types.PeerNetwork {
  readonly self: types.VmIdentity;
  readonly #handlers = new Map<string, types.PeerHandler>();
  readonly #calls = new Map<number, PendingCall>();
  readonly #runningHandlers = new Map<model.VmId, number>();
  #lastCallId = 0;

  constructor(self: types.VmIdentity) {
    this.self = self;
  }

  /** Number of calls that wait for a response. */
  get pendingCalls(): number {
    return this.#calls.size;
  }

  handle(channel: types.ChannelName, handler: types.PeerHandler): void {
    kernel.assert(!this.#handlers.has(channel), `Channel '${channel}' has two handlers.`);
    this.#handlers.set(channel, handler);
  }

  send(
    to: model.VmId,
    channel: types.ChannelName,
    payload: unknown,
  ): neverthrow.Result<void, errors.PeerError> {
    return this.transmit(to, createFrame("message", channel, 0, payload));
  }

  call(
    to: model.VmId,
    channel: types.ChannelName,
    payload: unknown,
    timeoutMilliseconds: number,
  ): Promise<neverthrow.Result<unknown, errors.PeerError>> {
    this.#lastCallId++;
    const callId = this.#lastCallId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#settle(callId, to, neverthrow.err({ kind: "timeout", detail: channel }));
      }, timeoutMilliseconds);
      const settle = (result: neverthrow.Result<unknown, errors.PeerError>) => {
        clearTimeout(timer);
        resolve(result);
      };
      // The call is registered before its frame is sent, since a failing link settles it at once.
      this.#calls.set(callId, { to, settle });
      const sent = this.transmit(to, createFrame("call", channel, callId, payload));
      if (sent.isErr()) {
        this.#settle(callId, to, neverthrow.err(sent.error));
      }
    });
  }

  /** Sends a frame to another VM without waiting for its delivery. */
  protected abstract transmit(
    to: model.VmId,
    frame: Frame,
  ): neverthrow.Result<void, errors.PeerError>;

  /** Counts a frame that was dropped. */
  protected reportDrop(_reason: Parameters<DropListener>[0]): void {
    // A network without metrics counts nothing.
  }

  /** Fails the calls to one VM, or all calls, when responses can no longer arrive. */
  protected failCalls(detail: string, to?: model.VmId): void {
    for (const [callId, pending] of [...this.#calls]) {
      if (to === undefined || pending.to === to) {
        this.#settle(callId, pending.to, neverthrow.err({ kind: "failed", detail }));
      }
    }
  }

  /** Handles a value received from another VM, which is not yet validated. */
  protected receive(from: types.VmIdentity, value: unknown): void {
    const frame = parseFrame(value);
    if (frame === undefined) {
      this.reportDrop("malformed");
      return;
    }
    if (frame.version !== FRAME_VERSION) {
      this.reportDrop("version");
      return;
    }
    switch (frame.kind) {
      case "message":
      case "call":
        void this.#dispatch(from, frame);
        return;
      case "answer":
        this.#settle(frame.callId, from.vm, neverthrow.ok(frame.payload));
        return;
      case "failure":
        this.#settle(frame.callId, from.vm, neverthrow.err(createFailure(frame.payload)));
        return;
      default:
        kernel.assertNever(frame.kind);
    }
  }

  async #dispatch(from: types.VmIdentity, frame: Frame): Promise<void> {
    const handler = this.#handlers.get(frame.channel);
    const channel = createChannelName(frame.channel);
    if (handler === undefined) {
      this.#answer(from, frame, "failure", NO_HANDLER);
      return;
    }
    const running = this.#runningHandlers.get(from.vm) ?? 0;
    if (running >= MAX_RUNNING_HANDLERS_PER_PEER) {
      this.reportDrop("overloaded");
      this.#answer(from, frame, "failure", "overloaded");
      return;
    }
    this.#runningHandlers.set(from.vm, running + 1);
    try {
      const answer = await handler({ from, channel, payload: frame.payload });
      this.#answer(from, frame, "answer", answer);
    } catch (error) {
      this.#answer(from, frame, "failure", String(error));
    } finally {
      this.#finishHandler(from.vm);
    }
  }

  #finishHandler(vm: model.VmId): void {
    const running = (this.#runningHandlers.get(vm) ?? 1) - 1;
    if (running === 0) {
      this.#runningHandlers.delete(vm);
    } else {
      this.#runningHandlers.set(vm, running);
    }
  }

  #answer(
    to: types.VmIdentity,
    frame: Frame,
    kind: "answer" | "failure",
    payload: unknown,
  ): void {
    if (frame.kind === "call") {
      this.transmit(to.vm, createFrame(kind, frame.channel, frame.callId, payload));
    }
  }

  #settle(
    callId: number,
    from: model.VmId,
    result: neverthrow.Result<unknown, errors.PeerError>,
  ): void {
    const pending = this.#calls.get(callId);
    // A response may be late, duplicated, or come from a VM that was not called.
    if (pending === undefined || pending.to !== from) {
      this.reportDrop("late");
      return;
    }
    this.#calls.delete(callId);
    pending.settle(result);
  }
}

function createFailure(payload: unknown): errors.PeerError {
  return payload === NO_HANDLER
    ? { kind: "no_handler", detail: NO_HANDLER }
    : { kind: "failed", detail: String(payload) };
}

function createFrame(
  kind: Frame["kind"],
  channel: string,
  callId: number,
  payload: unknown,
): Frame {
  return { version: FRAME_VERSION, kind, channel, callId, payload };
}

/** Service name of the peer network. */
export const PEER_NETWORK = kernel.createServiceName<types.PeerNetwork>("peer-network");
