/**
 * Types of the mesh: members, links and the messages on them.
 */

import type * as model from "@hemlockwalk/model";

/** One incarnation of a VM. */
export interface MemberIdentity {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly dataCentre: model.DataCentreId;
  /** IP address and port of its listener for other VMs. */
  readonly address: string;
  /** Short random number that identifies the incarnation in reports. */
  readonly tag: number;
  /** Capacity to relay, in tenths of a CPU core. VMs with a larger capacity relay first. */
  readonly capacity: number;
}

/** A report that one VM sends to all others. */
export interface Report {
  /** Tag of the VM's incarnation. */
  readonly tag: number;
  /** Increases with each report of an incarnation. */
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** Whether relays forward it on all links without waiting for the next tick. */
  readonly isUrgent: boolean;
  /** Payloads by the name of the section. */
  readonly sections: Readonly<Record<string, unknown>>;
  /** Identity of the VM, which is sent at intervals for VMs that do not track it. */
  readonly origin: MemberIdentity | undefined;
}

/** A report as it is sent: its fields in order, without their names. */
export type PackedReport = readonly [
  tag: number,
  sequence: number,
  flags: number,
  sections: Readonly<Record<string, unknown>>,
  origin?: MemberIdentity | undefined,
];

/** A section of the reports, collected on this VM and received from others. */
export interface ReportSection {
  /**
   * Returns the changes since the last collection; undefined when there are none.
   *
   * @param sequence Number of the report that will contain them.
   */
  collect(sequence: number): unknown;
  /** Applies a payload of another VM. Its shape has not been checked. */
  receive(from: MemberIdentity, payload: unknown): void;
}

/**
 * Digest of a replicated state, by which two VMs detect that their copies differ. The mesh does not
 * read it.
 */
export interface StateDigest {
  /** Returns the digest of this VM's copy. */
  get(): unknown;
  /** Whether a copy with the given digest may hold something that this VM's copy lacks. */
  isBehind(other: unknown): boolean;
}

/** State that is replicated to all VMs and that any VM may update. */
export interface ReplicatedState {
  /** With a digest, snapshots are sent only on request; without one, on each new link. */
  readonly digest?: StateDigest;
  /** Returns the complete state, for a VM that has none of it. */
  createSnapshot(): unknown;
  /** Applies an update or a snapshot; returns whether any of it was new and is to be forwarded. */
  receive(payload: unknown): boolean;
}

/**
 * Requests of a VM to the relay through which it hears the others, and the responses. They reach no
 * other VM, and a request may have no response. Payloads of another VM have not been checked.
 */
export interface RelayExchange {
  /** Handles a request of a VM as its relay; returns the response, or undefined for none. */
  receiveRequest(from: MemberIdentity, payload: unknown): unknown;
  /** Handles the response of a relay. */
  receiveResponse(from: MemberIdentity, payload: unknown): void;
}

/**
 * Called with the monotonic times of a response of the store and of the one before, in milliseconds;
 * negative infinity if there was none before.
 */
export type StoreResponseListener = (at: number, previousAt: number) => void;

/** Messages on a link. */
export type LinkMessage =
  | {
    readonly kind: "hello";
    readonly identity: MemberIdentity;
    readonly members: readonly MemberIdentity[];
    /** Snapshots of the replicated states without a digest. */
    readonly feeds: Readonly<Record<string, unknown>>;
    /** Digests of the other replicated states. */
    readonly marks: Readonly<Record<string, unknown>>;
  }
  /** Announces a large change of replicated states. A VM that lacks it requests a snapshot. */
  | { readonly kind: "marks"; readonly marks: Readonly<Record<string, unknown>> }
  /** Requests snapshots of replicated states. */
  | { readonly kind: "request"; readonly feeds: readonly string[] }
  | { readonly kind: "role"; readonly role: LinkRole }
  /** A request to the relay and its response. Earlier versions of the program ignore them. */
  | {
    readonly kind: "relay_request" | "relay_response";
    readonly exchange: string;
    readonly payload: unknown;
  }
  | {
    readonly kind: "reports";
    /** Reports as encoded by their VMs; relays forward the bytes. */
    readonly reports: readonly Uint8Array[];
    /** Age of the store's latest response to any VM, in milliseconds; undefined without one. */
    readonly confirmedAge: number | undefined;
    /**
     * Number of the receiving VM's latest report that has arrived on this link. Earlier versions of
     * the program do not send it.
     */
    readonly received?: number;
  }
  | {
    readonly kind: "feed";
    readonly feed: string;
    readonly payload: unknown;
    /** Whether the payload is a requested snapshot and not an update. */
    readonly isWhole?: boolean;
  };

/** Purpose for which the dialling VM uses a link. */
export type LinkRole = "standby" | "subscription" | "bridge";
