/**
 * Channels, messages and calls over any transport that moves frames between VMs.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import type * as types from "./types.ts";

/** Version of the frames. A VM drops frames of a version that it does not know. */
export const FRAME_VERSION = 1;

/** One message on its way. */
export interface Frame {
  readonly version: number;
  readonly kind: "message" | "call" | "answer" | "failure";
  readonly channel: string;
  /** Links an answer to its call; 0 for a plain message. */
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

/** What all peer networks have in common. A subclass moves the frames. */
export abstract class PeerMessaging implements types.PeerNetwork {
  readonly self: types.VmIdentity;
  readonly #handlers = new Map<string, types.PeerHandler>();
  readonly #calls = new Map<number, PendingCall>();
  #lastCallId = 0;

  constructor(self: types.VmIdentity) {
    this.self = self;
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
    const sent = this.transmit(to, createFrame("call", channel, callId, payload));
    if (sent.isErr()) {
      return Promise.resolve(neverthrow.err(sent.error));
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#settle(callId, to, neverthrow.err({ kind: "timeout", detail: channel }));
      }, timeoutMilliseconds);
      const settle = (result: neverthrow.Result<unknown, errors.PeerError>) => {
        clearTimeout(timer);
        resolve(result);
      };
      this.#calls.set(callId, { to, settle });
    });
  }

  /** Moves a frame towards another VM without waiting. */
  protected abstract transmit(
    to: model.VmId,
    frame: Frame,
  ): neverthrow.Result<void, errors.PeerError>;

  /** Takes a frame that came from another VM. */
  protected receive(from: types.VmIdentity, frame: Frame): void {
    if (frame.version !== FRAME_VERSION) {
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
        this.#settle(
          frame.callId,
          from.vm,
          neverthrow.err({ kind: "failed", detail: String(frame.payload) }),
        );
        return;
      default:
        kernel.assertNever(frame.kind);
    }
  }

  async #dispatch(from: types.VmIdentity, frame: Frame): Promise<void> {
    const handler = this.#handlers.get(frame.channel);
    const channel = createChannelName(frame.channel);
    if (handler === undefined) {
      this.#answer(from, frame, "failure", "no handler");
      return;
    }
    try {
      const answer = await handler({ from, channel, payload: frame.payload });
      this.#answer(from, frame, "answer", answer);
    } catch (error) {
      this.#answer(from, frame, "failure", String(error));
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
    // An answer may be late, duplicated, or come from a VM that was not asked.
    if (pending === undefined || pending.to !== from) {
      return;
    }
    this.#calls.delete(callId);
    pending.settle(result);
  }
}

function createFrame(
  kind: Frame["kind"],
  channel: string,
  callId: number,
  payload: unknown,
): Frame {
  return { version: FRAME_VERSION, kind, channel, callId, payload };
}

/** The name under which the peer network is found. */
export const PEER_NETWORK = kernel.createServiceName<types.PeerNetwork>("peer-network");
