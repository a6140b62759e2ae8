/**
 * Public types of the fleet.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** Identity of one process of a VM. */
export interface VmIdentity {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly dataCentre: model.DataCentreId;
}

/** Name of a kind of message between VMs, such as `limits.lease`. */
export type ChannelName = model.Brand<string, "ChannelName">;

/** A received message. */
export interface PeerMessage {
  readonly from: VmIdentity;
  readonly channel: ChannelName;
  /** Decoded by msgpackr; the receiver checks its shape. */
  readonly payload: unknown;
}

/** Handles a message. The result is the response to a call; it is ignored for a plain message. */
export type PeerHandler = (message: PeerMessage) => unknown;

/**
 * Messages between VMs. A message may be lost, delayed or duplicated, and a link may work in one
 * direction only.
 */
export interface PeerNetwork extends kernel.Service {
  readonly self: VmIdentity;
  /** Handles all messages of a channel. Each channel has one handler. */
  handle(channel: ChannelName, handler: PeerHandler): void;
  /** Sends without waiting. The result reports only whether the message was queued. */
  send(
    to: model.VmId,
    channel: ChannelName,
    payload: unknown,
  ): neverthrow.Result<void, errors.PeerError>;
  /** Sends a message and waits for the response. */
  call(
    to: model.VmId,
    channel: ChannelName,
    payload: unknown,
    timeoutMilliseconds: number,
  ): Promise<neverthrow.Result<unknown, errors.PeerError>>;
}

/** A VM of the fleet as this VM sees it. */
export interface Member {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
  /** Address of its peer listener. */
  readonly address: string;
  /** Undefined while the VM is only listed and has not been reached yet. */
  readonly incarnation: model.Incarnation | undefined;
  readonly state: "live" | "suspect" | "leaving";
}

/** This VM's view of the fleet. It lags and differs from other VMs' views. */
export interface Membership extends kernel.Service {
  readonly self: VmIdentity;
  /** All members in the order of their identifiers, this VM included. */
  listMembers(): readonly Member[];
  onChange(listener: () => void): void;
}

/** One entry of the platform's list of VMs, which may be out of date. */
export interface ListedVm {
  readonly vm: model.VmId;
  /** Address of its peer listener. */
  readonly address: string;
  readonly dataCentre: model.DataCentreId;
  readonly state: "live" | "leaving";
}

/** Source of the platform's list of VMs. */
export interface VmListSource extends kernel.Service {
  /** Adds a listener that is called with each list that was read. */
  onList(listener: (vms: readonly ListedVm[]) => void): void;
}
