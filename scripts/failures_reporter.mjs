/**
 * Test reporter that writes the full name of each failed test, one per line.
 */

/** A test that failed only because one of its subtests failed is not itself a failure. */
function isOwnFailure(event) {
  return event.type === "test:fail" && event.data.details.error?.failureType !== "subtestsFailed" &&
    event.data.todo === undefined;
}

export default async function* reportFailures(source) {
  const path = [];
  for await (const event of source) {
    if (event.type === "test:start") {
      path.length = event.data.nesting;
      path[event.data.nesting] = event.data.name;
    }
    if (isOwnFailure(event)) {
      const parents = path.slice(0, event.data.nesting);
      yield `${[...parents, event.data.name].join(" > ")}\n`;
    }
  }
}
