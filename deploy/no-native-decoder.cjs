/** Replaces the optional native decoder of cbor-x; without it cbor-x decodes in JavaScript. */
module.exports = null
