/**
 * Generates random release notes with few identifiers, so that they often touch the same entities.
 */

import * as model from "@hemlockwalk/model";
import * as fastCheck from "fast-check";

const FLEET = { vmLimit: 4 };

/** The contents of a note without its number and predecessor. */
export interface NoteContent {
  readonly added: object;
  readonly changed: object;
  readonly withdrawn: object;
}

/** Returns the digest of one of the keys that the random notes add and withdraw. */
export function createTestKeyDigest(index: number): model.KeyDigest {
  return model.createKeyDigest(`key-${index}`);
}

const workspaceId = fastCheck.integer({ min: 0, max: 3 }).map((index) => `w${index}`);
const serviceId = fastCheck.integer({ min: 0, max: 2 }).map((index) => `s${index}`);
const targetId = fastCheck.integer({ min: 0, max: 4 }).map((index) => `t${index}`);
const routeId = fastCheck.integer({ min: 0, max: 4 }).map((index) => `r${index}`);
const keyDigest = fastCheck.integer({ min: 0, max: 5 }).map(createTestKeyDigest);

const workspace = fastCheck.record({
  id: workspaceId,
  rate: fastCheck.integer({ min: 1, max: 9 }),
  burst: fastCheck.constant(5),
});
const key = fastCheck.record({ digest: keyDigest, workspace: workspaceId });
const service = fastCheck.record({
  id: serviceId,
  slots: fastCheck.integer({ min: 1, max: 9 }),
  connections: fastCheck.constant(10),
});
const target = fastCheck.record({
  id: targetId,
  service: serviceId,
  address: fastCheck.constant("10.0.0.1:80"),
  dataCentre: fastCheck.constant("north-1"),
  leaving: fastCheck.boolean(),
});
const route = fastCheck.record(
  {
    id: routeId,
    host: fastCheck.constantFrom("a.example", "b.example"),
    pathPrefix: fastCheck.constantFrom("/", "/a", "/a/b", "/c"),
    service: serviceId,
    workspaces: fastCheck.array(workspaceId, { maxLength: 2 }),
  },
  { requiredKeys: ["id", "pathPrefix", "service"] },
);

function few<T>(arbitrary: fastCheck.Arbitrary<T>): fastCheck.Arbitrary<T[]> {
  return fastCheck.array(arbitrary, { maxLength: 2 });
}

const declarations = fastCheck.record({
  workspaces: few(workspace),
  keys: few(key),
  services: few(service),
  targets: few(target),
  routes: few(route),
});

const withdrawals = fastCheck.record({
  workspaces: few(workspaceId),
  keys: few(keyDigest),
  services: few(serviceId),
  targets: few(targetId),
  routes: few(routeId),
});

const nothing = fastCheck.constant({});

/** One section with at most two entities, which is often valid. */
const smallDeclarations = fastCheck.oneof(
  fastCheck.record({ workspaces: few(workspace) }),
  fastCheck.record({ keys: few(key) }),
  fastCheck.record({ services: few(service) }),
  fastCheck.record({ targets: few(target) }),
  fastCheck.record({ routes: few(route) }),
);

const smallWithdrawals = fastCheck.oneof(
  fastCheck.record({ workspaces: few(workspaceId) }),
  fastCheck.record({ keys: few(keyDigest) }),
  fastCheck.record({ services: few(serviceId) }),
  fastCheck.record({ targets: few(targetId) }),
  fastCheck.record({ routes: few(routeId) }),
);

/** Contents of a note. Most touch few entities, so that many notes are accepted. */
export const noteContent: fastCheck.Arbitrary<NoteContent> = fastCheck.oneof(
  { weight: 4, arbitrary: createContent(smallDeclarations, nothing, nothing) },
  { weight: 3, arbitrary: createContent(nothing, smallDeclarations, nothing) },
  { weight: 3, arbitrary: createContent(nothing, nothing, smallWithdrawals) },
  { weight: 2, arbitrary: createContent(smallDeclarations, nothing, smallWithdrawals) },
  { weight: 1, arbitrary: createContent(declarations, declarations, withdrawals) },
);

function createContent(
  added: fastCheck.Arbitrary<object>,
  changed: fastCheck.Arbitrary<object>,
  withdrawn: fastCheck.Arbitrary<object>,
): fastCheck.Arbitrary<NoteContent> {
  return fastCheck.record({ added, changed, withdrawn });
}

/** The contents of a first note, which declares entities of each kind. */
export const FIRST_CONTENT: NoteContent = {
  added: {
    workspaces: [{ id: "w0", rate: 5, burst: 5 }, { id: "w1", rate: 5, burst: 5 }],
    keys: [
      { digest: createTestKeyDigest(0), workspace: "w0" },
      { digest: createTestKeyDigest(1), workspace: "w1" },
    ],
    services: [{ id: "s0", slots: 3, connections: 10 }],
    targets: [{ id: "t0", service: "s0", address: "10.0.0.1:80", dataCentre: "north-1" }],
    routes: [{ id: "r0", pathPrefix: "/a", service: "s0", workspaces: ["w0"] }],
  },
  changed: {},
  withdrawn: {},
};

/** Creates the text of a note that follows the given one. */
export function writeNote(
  predecessor: { readonly number: number; readonly digest: string } | undefined,
  content: NoteContent,
): string {
  return JSON.stringify({
    format: 1,
    number: (predecessor?.number ?? 0) + 1,
    previous: predecessor?.digest ?? null,
    ...(predecessor === undefined ? { fleet: FLEET } : {}),
    ...content,
  });
}
