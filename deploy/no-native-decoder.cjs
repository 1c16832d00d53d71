/** Stands in for the optional native decoder of cbor-x, which then decodes by itself. */
module.exports = null
