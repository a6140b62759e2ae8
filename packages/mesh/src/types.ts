/**
 * Types of the mesh: members, links and what travels over them.
 */

import type * as model from "@hemlockwalk/model";

/** One life of one VM. */
export interface MemberIdentity {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly dataCentre: model.DataCentreId;
  /** IP number and port of its listener for other VMs. */
  readonly address: string;
  /** Short random number that stands for this life in reports. */
  readonly tag: number;
  /** What it can carry for others, in tenths of a core; VMs with more of it relay first. */
  readonly capacity: number;
}

/** What one VM tells all others. */
export interface Report {
  /** Tag of the VM's life. */
  readonly tag: number;
  /** Rises with each report of one incarnation. */
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** Whether relays should pass it on without waiting for others. */
  readonly isUrgent: boolean;
  /** Payloads by the name of the section. */
  readonly sections: Readonly<Record<string, unknown>>;
  /** Now and then, for those who have not heard of the VM. */
  readonly origin: MemberIdentity | undefined;
}

/** A report as it travels: its fields in order, without their names. */
export type PackedReport = readonly [
  tag: number,
  sequence: number,
  flags: number,
  sections: Readonly<Record<string, unknown>>,
  origin?: MemberIdentity | undefined,
];

/** A part of the reports: this VM's share of it is collected, those of others are received. */
export interface ReportSection {
  /** What has changed since the last collection; undefined when nothing has. */
  collect(): unknown;
  /** Takes a payload of another VM. Its shape is not to be trusted. */
  receive(from: MemberIdentity, payload: unknown): void;
}

/** Stands for the state of a feed, so that two VMs can tell whether they hold the same. */
export interface FeedMarks {
  /** 0 while nothing is held. */
  get(): number;
  /** Whether a VM with another mark holds something that this one does not. */
  isBehind(other: number): boolean;
}

/** State that all VMs hold alike and that any of them may bring up to date. */
export interface Feed {
  /** With marks, everything is sent only to a VM that asks; without, to each VM that is met. */
  readonly marks?: FeedMarks;
  /** Everything that a VM without knowledge needs. */
  createSnapshot(): unknown;
  /** Takes an update; returns whether any of it was new, so that it is passed on. */
  receive(payload: unknown): boolean;
}

/** Messages on a link. */
export type LinkMessage =
  | {
    readonly kind: "hello";
    readonly identity: MemberIdentity;
    readonly members: readonly MemberIdentity[];
    /** Everything of the feeds without marks. */
    readonly feeds: Readonly<Record<string, unknown>>;
    /** Marks of the other feeds. */
    readonly marks: Readonly<Record<string, number>>;
  }
  /** Says that the state of feeds has changed by something large; whoever lacks it may ask. */
  | { readonly kind: "marks"; readonly marks: Readonly<Record<string, number>> }
  /** Asks for everything of some feeds. */
  | { readonly kind: "request"; readonly feeds: readonly string[] }
  | { readonly kind: "role"; readonly role: LinkRole }
  | {
    readonly kind: "reports";
    /** Reports as their VMs have encoded them; relays pass the bytes on. */
    readonly reports: readonly Uint8Array[];
    /** Age of the store's latest answer to any VM, in milliseconds; undefined without one. */
    readonly confirmedAge: number | undefined;
  }
  | {
    readonly kind: "feed";
    readonly feed: string;
    readonly payload: unknown;
    /** Whether it is everything, as was asked for, and not an update. */
    readonly isWhole?: boolean;
  };

/** What the dialling VM uses a link for. */
export type LinkRole = "standby" | "subscription" | "bridge";
