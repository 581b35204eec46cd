declare module 'json-merge-patch' {
  const mergePatch: {
    apply(target: object, patch: object): unknown;
    generate(before: object, after: object): unknown;
  };
  export default mergePatch;
}
